package fireflyhinge.lease

/**
 * The right of a process to act as the owner of a shard.
 *
 * @property epoch epoch of the shard's map entry.
 * @property ownerEpoch epoch at which this process became the owner.
 * @property until expiry time in nanoseconds of the monotonic clock, unless the lease is renewed.
 * @property confirmed whether the stored shard map names this process as the owner; false after a takeover on death
 * evidence during an outage of the store.
 */
data class ActingLease(val epoch: Long, val ownerEpoch: Long, val until: Long, val confirmed: Boolean = true)
