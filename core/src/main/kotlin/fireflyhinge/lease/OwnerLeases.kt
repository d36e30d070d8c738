package fireflyhinge.lease

/** The leases of one process as owner. Not thread-safe. */
internal class OwnerLeases(private val self: ProcessId, private val times: LeaseTimes) {
    private val leases = sortedMapOf<Int, OwnerLease>()

    /** Leases by shard number. */
    val all: Map<Int, OwnerLease> get() = leases

    /** Replaces the entries by those of [map]; an entry taken on evidence stays while the map is older. */
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
     * An owner that needed no promise has time to get one from the successor that it chose. A successor chosen by the
     * previous owner may be about to take over, so an entry taken on evidence gives no such time.
     */
    private fun OwnerLease.moveTo(entry: ShardEntry, now: Long): OwnerLease {
        val grace = if (alone && confirmed) now + times.ownerLeaseNanos else leaseUntil
        return OwnerLease(entry, learnedAt = now, leaseUntil = minOf(limit, grace))
    }

    /** Starts to act on evidence of the previous owner's death, before the store knows. */
    fun takeOnEvidence(shard: Int, entry: ShardEntry, now: Long) {
        leases[shard] = OwnerLease(entry, learnedAt = now, confirmed = false)
    }

    /** Gives up [shard] because another process acts under [epoch]. */
    fun yieldTo(shard: Int, epoch: Long) {
        val held = leases[shard] ?: return
        if (held.entry.epoch < epoch || (!held.confirmed && held.entry.epoch == epoch)) leases.remove(shard)
    }

    /** Records that the successor promised for [shard] under [epoch] to a request that was sent at [sentAt]. */
    fun promised(shard: Int, epoch: Long, sentAt: Long, now: Long) =
        update(shard) {
            if (it.entry.epoch != epoch || !it.confirmed) {
                it
            } else {
                it.copy(
                    leaseUntil = maxOf(it.leaseUntil, sentAt + times.ownerLeaseNanos),
                    lastAnswer = now,
                    promisedAt = it.promisedAt ?: now,
                    echoed = it.echoed || (it.promisedAt != null && sentAt >= it.promisedAt),
                )
            }
        }

    /**
     * Bounds the lease of [shard] before a write that could let another process act. When [stop] is set the owner
     * stops now. Otherwise it stops when a new successor that learns of the write could take over, unless the new
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

    /** Lifts the bound after it is certain that the write did not and will not take effect. */
    fun endWrite(shard: Int) = update(shard) { it.copy(writing = false, limit = Long.MAX_VALUE) }

    /**
     * Uses evidence that successors are dead; [deadBy] gives the time at which a process was certainly dead. It counts
     * only if that was before the lease ended: after that the successor may have taken over before it died.
     */
    fun useEvidence(deadBy: (ProcessId) -> Long?) =
        leases.keys.toList().forEach { shard ->
            update(shard) {
                val diedAt = it.entry.successor?.takeUnless { _ -> it.writing || it.alone }?.let(deadBy)
                if (diedAt != null && diedAt < it.until) it.copy(successorDead = true) else it
            }
        }

    /** Treats all leases as expired after a pause. */
    fun expireAll(now: Long) =
        leases.keys.toList().forEach { shard ->
            update(shard) { it.copy(leaseUntil = Long.MIN_VALUE, lastAnswer = now) }
        }

    private fun update(shard: Int, change: (OwnerLease) -> OwnerLease) {
        leases[shard]?.let { leases[shard] = change(it) }
    }
}
