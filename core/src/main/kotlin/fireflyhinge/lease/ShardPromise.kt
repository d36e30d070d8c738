package fireflyhinge.lease

/**
 * The promise of a successor not to act for one shard until [until]. Times are nanoseconds of the monotonic clock.
 *
 * @property knownEpoch highest epoch of the shard that this process knows.
 * @property until time before which this process does not act.
 * @property runStart start of the uninterrupted series of promises to [owner] under [epoch], or null without one.
 * @property aliveAt time at which the owner was certainly alive, since it echoed a reply sent then, or null if unknown.
 * @property deadBy time at which the owner was certainly dead, or null without evidence of its death.
 * @property requested whether [owner] has sent a request under [epoch], and so knows of its entry.
 */
internal data class ShardPromise(
    val knownEpoch: Long = 0,
    val until: Long = Long.MIN_VALUE,
    val owner: ProcessId? = null,
    val epoch: Long = 0,
    val runStart: Long? = null,
    val aliveAt: Long? = null,
    val deadBy: Long? = null,
    val requested: Boolean = false,
)
