package fireflyhinge.lease

/**
 * A process's present right to act for a shard.
 *
 * @property epoch epoch of the shard's map entry.
 * @property ownerEpoch epoch at which this process became the owner.
 * @property until moment in nanoseconds of the monotonic clock at which the right ends unless it is renewed.
 * @property confirmed whether the store's map names this process; false after a takeover on evidence during an outage.
 */
data class ActingLease(val epoch: Long, val ownerEpoch: Long, val until: Long, val confirmed: Boolean = true)
