package fireflyhinge.membership

import fireflyhinge.store.VmEntry

/** Applies received information to a [MemberTable], ordered by incarnation and then heartbeat. Not thread-safe. */
class MemberUpdates(private val table: MemberTable) {
    private val records get() = table.records
    private val evidence get() = table.evidence

    /** Adds the members of the VM [list] and, if it is [complete], records removed ones; see [DeathEvidence]. */
    fun onList(list: List<VmEntry>, now: Long, complete: Boolean = true) {
        evidence.onList(list, now, complete) { records[it]?.heardWithin(MemberRecord.HEALTH_LIMIT_MILLIS, now) != true }
        list.filter { it.id != table.self.id }.forEach { entry ->
            val held = records[entry.id]
            if (held == null || held.member.incarnation == 0L) {
                records[entry.id] =
                    MemberRecord(entry.member(), heardAt = held?.heardAt ?: now, triedAt = held?.triedAt)
            }
        }
    }

    /** An operator fenced the processes of [id] up to [incarnation]. */
    fun onFence(id: String, incarnation: Long, now: Long) = evidence.onFence(id, incarnation, now)

    /** A message or a reply from [id] arrived. */
    fun onHeard(id: String, now: Long) {
        evidence.onNotRefused(id)
        records.computeIfPresent(id) { _, held ->
            held.copy(triedAt = now, failedAt = null, failures = 0).withSignOfLife(now)
        }
    }

    /** A message to [id] failed. [refused] is true if the connection was refused. */
    fun onFailed(id: String, refused: Boolean, now: Long) {
        records.computeIfPresent(id) { _, held -> held.withFailure(at = now, count = 1).copy(triedAt = now) }
        if (refused) evidence.onRefused(id, table.knownIncarnation(id), now) else evidence.onNotRefused(id)
    }

    /** Merges a complete entry. Returns whether it was newer than the known one. */
    fun merge(member: Member, now: Long): Boolean {
        if (member.id == table.self.id || table.provenDead(member.id, member.incarnation)) return false
        val held = records[member.id]
        if (held != null && !member.toHeartbeat().isNewerThan(held.member)) return false
        val state = if (member.state == MemberState.DRAINING) member.state else MemberState.LIVE
        val known = held?.takeIf { it.member.incarnation == member.incarnation }?.startedBy
        val startedBy = minOf(startOf(member, now), known ?: now)
        records[member.id] =
            MemberRecord(member.copy(state = state), heardAt = now, triedAt = held?.triedAt, startedBy = startedBy)
        evidence.onNotRefused(member.id)
        return true
    }

    /** Merges a heartbeat and returns the result. */
    fun merge(heartbeat: Heartbeat, now: Long): HeartbeatResult {
        if (heartbeat.id == table.self.id) return mergeOwn(heartbeat)
        val held = records[heartbeat.id]
        return when {
            table.provenDead(heartbeat.id, heartbeat.incarnation) -> HeartbeatResult.STALE
            held == null || heartbeat.incarnation > held.member.incarnation -> HeartbeatResult.UNKNOWN
            heartbeat.state == MemberState.UNRESPONSIVE -> mergeReport(held, heartbeat, now)
            !heartbeat.isNewerThan(held.member) -> HeartbeatResult.STALE
            else -> mergeNewer(held, heartbeat, now)
        }
    }

    /** A report that this VM does not respond is refuted by raising the heartbeat above the reported one. */
    private fun mergeOwn(heartbeat: Heartbeat): HeartbeatResult {
        val own = table.self
        val reported = heartbeat.incarnation == own.incarnation && heartbeat.state == MemberState.UNRESPONSIVE
        if (!reported || heartbeat.heartbeat < own.heartbeat) return HeartbeatResult.STALE
        table.updateSelf(atLeast = heartbeat.heartbeat + 1)
        return HeartbeatResult.CHANGED
    }

    private fun mergeReport(held: MemberRecord, heartbeat: Heartbeat, now: Long): HeartbeatResult {
        val at = now - heartbeat.ageMillis
        if (held.failures >= MemberRecord.FAILURES_NEEDED || at < held.heardAt) return HeartbeatResult.STALE
        records[heartbeat.id] = held.withFailure(at, count = MemberRecord.FAILURES_NEEDED)
        return HeartbeatResult.CHANGED
    }

    private fun mergeNewer(held: MemberRecord, heartbeat: Heartbeat, now: Long): HeartbeatResult {
        val member = held.member
        val changed = member.state != heartbeat.state || member.isolated != heartbeat.isolated || held.unresponsive(now)
        val next =
            member.copy(
                heartbeat = heartbeat.heartbeat,
                state = heartbeat.state,
                isolated = heartbeat.isolated,
                openRequests = heartbeat.openRequests,
            )
        records[heartbeat.id] = held.copy(member = next).withSignOfLife(now - heartbeat.ageMillis)
        return if (changed) HeartbeatResult.CHANGED else HeartbeatResult.NEWER
    }
}

private fun VmEntry.member() =
    Member(
        id = id,
        region = region,
        failureDomain = failureDomain,
        callerAddress = callerAddress,
        controlAddress = controlAddress,
        incarnation = 0,
        heartbeat = 0,
    )
