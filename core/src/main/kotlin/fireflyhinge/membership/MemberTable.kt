package fireflyhinge.membership

/**
 * All VMs as one daemon knows them. [MemberUpdates] changes the table. Times are milliseconds of the monotonic clock.
 * Not thread-safe.
 */
class MemberTable(self: Member) {
    internal val records = sortedMapOf<String, MemberRecord>()
    internal val evidence = DeathEvidence(self.id)

    /** The entry of this VM. */
    var self: Member = self
        private set

    /** Time at which this process began to listen for its peers, or null before that. */
    var listeningSince: Long? = null

    /** Raises the heartbeat of this VM, at least to [atLeast], and applies [change] to its entry. */
    fun updateSelf(atLeast: Long = 0, change: (Member) -> Member = { it }) {
        val heartbeat = maxOf(self.heartbeat + 1, atLeast)
        self = change(self).copy(id = self.id, incarnation = self.incarnation, heartbeat = heartbeat)
    }

    /** All members as this daemon sees them, including this VM, sorted by id. */
    fun view(now: Long): List<Member> =
        (records.values.map { it.member.copy(state = stateOf(it, now)) } + ownView()).sortedBy { it.id }

    /** The member [id] as this daemon sees it, or null if it is not known. */
    fun view(id: String, now: Long): Member? =
        if (id == self.id) ownView() else records[id]?.let { it.member.copy(state = stateOf(it, now)) }

    /** Whether there is evidence that the process of [id] with [incarnation] (0 for any) can no longer run. */
    fun provenDead(id: String, incarnation: Long): Boolean = deadBy(id, incarnation) != null

    /** Time by which the process of [id] with [incarnation] (0 for any) was certainly dead; null without evidence. */
    fun deadBy(id: String, incarnation: Long): Long? =
        evidence.deadBy(id, incarnation, known = knownIncarnation(id), knownSince = startedBy(id) ?: Long.MAX_VALUE)

    /** Time at which the newest known process of [id] was certainly already running, or null if it is not known. */
    internal fun startedBy(id: String): Long? = if (id == self.id) listeningSince else records[id]?.startedBy

    /** Whether the newest VM list marks this VM as leaving. */
    fun selfLeaving(): Boolean = evidence.leaving(self.id)

    internal fun knownIncarnation(id: String): Long =
        if (id == self.id) self.incarnation else records[id]?.member?.incarnation ?: 0

    private fun ownView(): Member =
        if (selfLeaving() && self.state == MemberState.LIVE) self.copy(state = MemberState.DRAINING) else self

    private fun stateOf(record: MemberRecord, now: Long): MemberState =
        when {
            provenDead(record.member.id, record.member.incarnation) -> MemberState.GONE
            record.unresponsive(now) -> MemberState.UNRESPONSIVE
            evidence.leaving(record.member.id) -> MemberState.DRAINING
            else -> record.member.state
        }

    companion object {
        /** Fleet size up to which every gossip message carries the heartbeats of all members. */
        const val FULL_LIMIT = 32
    }
}
