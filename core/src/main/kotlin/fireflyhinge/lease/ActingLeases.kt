package fireflyhinge.lease

/** Derives the acting leases of one process from [state]. Not thread-safe. */
class ActingLeases internal constructor(
    private val state: LeaseState,
    private val actingEpoch: (Int, Long) -> Long?,
) {
    /** The lease under which this process may act for [shard] at [now], or null if it may not. */
    fun of(shard: Int, now: Long): ActingLease? {
        val ownerEpoch = actingEpoch(shard, now) ?: return null
        val lease = state.owners.all.getValue(shard)
        return ActingLease(lease.entry.epoch, ownerEpoch = ownerEpoch, until = lease.until, confirmed = lease.confirmed)
    }
}
