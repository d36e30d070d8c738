package fireflyhinge.lease

/** The leases that one process holds as an owner. Not thread-safe. */
internal class OwnerLeases(private val self: ProcessId, private val times: LeaseTimes) {
    private val leases = sortedMapOf<Int, OwnerLease>()

    /** Leases by shard number. */
    val all: Map<Int, OwnerLease> get() = leases

    /** Adopts the entries of [map]. An entry that was taken over on evidence is kept while the map is older. */
    fun learn(map: ShardMap, now: Long) {
        map.shards.forEachIndexed { shard, entry ->
            val held = leases[shard]
            if (held != null && !held.confirmed && held.entry.epoch > entry.epoch) return@forEachIndexed
            when {
                entry.owner != self -> leases.remove(shard)
                held == null || held.entry.ownerEpoch != entry.ownerEpoch ->
                    leases[shard] = OwnerLease(entry, learnedAt = now)
                held.entry != entry || !held.confirmed -> leases[shard] = held.moveTo(entry, now)
            }
        }
    }

    /**
     * The lease under the new [entry]. An owner that needed no promise gets a grace period to obtain one from the
     * successor that it chose. After a takeover on evidence there is none, since a successor that the previous owner
     * chose may be about to take over.
     */
    private fun OwnerLease.moveTo(entry: ShardEntry, now: Long): OwnerLease {
        val grace = if (needsNoPromise && confirmed) now + times.ownerLeaseNanos else leaseUntil
        return OwnerLease(entry, learnedAt = now, leaseUntil = minOf(limit, grace))
    }

    /** Starts to act for [shard] on evidence of the previous owner's death, before the store has [entry]. */
    fun takeOnEvidence(shard: Int, entry: ShardEntry, now: Long) {
        leases[shard] = OwnerLease(entry, learnedAt = now, confirmed = false)
    }

    /** Gives up [shard], since another process acts for it under [epoch]. */
    fun yieldTo(shard: Int, epoch: Long) {
        val held = leases[shard] ?: return
        if (held.entry.epoch < epoch || (!held.confirmed && held.entry.epoch == epoch)) leases.remove(shard)
    }

    /** Renews the lease of [shard] after the successor promised under [epoch] to a request sent at [sentAt]. */
    fun promised(shard: Int, epoch: Long, sentAt: Long, now: Long) =
        update(shard) {
            if (it.entry.epoch != epoch || !it.confirmed) {
                it
            } else {
                it.copy(
                    leaseUntil = maxOf(it.leaseUntil, sentAt + times.ownerLeaseNanos),
                    lastReplyAt = now,
                    promisedAt = it.promisedAt ?: now,
                    echoed = it.echoed || (it.promisedAt != null && sentAt >= it.promisedAt),
                )
            }
        }

    /**
     * Limits the lease of [shard] before a write that could let another process act. With [stop] the owner stops now.
     * If the write names a successor ([givesRight]), the owner stops when that successor could take over, unless the
     * successor promises before.
     */
    fun beginWrite(shard: Int, stop: Boolean, givesRight: Boolean, now: Long) =
        update(shard) {
            val limit =
                when {
                    stop -> now
                    givesRight -> now + times.ownerLeaseNanos
                    else -> Long.MAX_VALUE
                }
            it.copy(writing = true, limit = minOf(it.limit, limit))
        }

    /** Removes the limit once the result of the write is certain. */
    fun endWrite(shard: Int) = update(shard) { it.copy(writing = false, limit = Long.MAX_VALUE) }

    /**
     * Marks successors as dead on evidence; [deadBy] returns the time at which a process was certainly dead. Evidence
     * counts only if that time is before the end of the lease: later, the successor may have taken over before it died.
     */
    fun applyEvidence(deadBy: (ProcessId) -> Long?) =
        leases.keys.toList().forEach { shard ->
            update(shard) {
                val diedAt = it.entry.successor?.takeUnless { _ -> it.writing || it.needsNoPromise }?.let(deadBy)
                if (diedAt != null && diedAt < it.until) it.copy(successorDead = true) else it
            }
        }

    /** Expires all leases after a pause of this process. */
    fun expireAll(now: Long) =
        leases.keys.toList().forEach { shard ->
            update(shard) { it.copy(leaseUntil = Long.MIN_VALUE, lastReplyAt = now) }
        }

    private fun update(shard: Int, change: (OwnerLease) -> OwnerLease) {
        leases[shard]?.let { leases[shard] = change(it) }
    }
}
