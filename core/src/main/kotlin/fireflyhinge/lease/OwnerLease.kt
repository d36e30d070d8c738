package fireflyhinge.lease

/**
 * The lease of an owner for one shard under [entry]. Times are nanoseconds of the monotonic clock.
 *
 * @property confirmed false while [entry] results from a takeover on evidence and is not in the store yet.
 * @property learnedAt time at which this process learned of [entry].
 * @property leaseUntil end of the right to act that the successor's promises give.
 * @property lastReplyAt time of the last promise, or of the start of the lease or the end of a pause before the first.
 * @property successorDead whether there is evidence that the successor died before the lease ended.
 * @property limit time at which the owner must stop because of a write that could let another process act.
 * @property writing whether the result of a write to [entry] is not known.
 * @property promisedAt time at which the first promise under [entry] arrived, or null.
 * @property echoed whether the successor has promised to a request that was sent after [promisedAt], and so knows that
 * the owner was alive under [entry]. Before that it cannot act on evidence of the owner's death.
 */
internal data class OwnerLease(
    val entry: ShardEntry,
    val learnedAt: Long,
    val confirmed: Boolean = true,
    val leaseUntil: Long = Long.MIN_VALUE,
    val lastReplyAt: Long = learnedAt,
    val successorDead: Boolean = false,
    val limit: Long = Long.MAX_VALUE,
    val writing: Boolean = false,
    val promisedAt: Long? = null,
    val echoed: Boolean = false,
) {
    /** Whether the owner may act without a promise, since no process could take over when a promise expires. */
    val needsNoPromise: Boolean get() = entry.successor == null || successorDead

    /** Time at which the owner must stop acting. */
    val until: Long get() = minOf(limit, if (needsNoPromise) Long.MAX_VALUE else leaseUntil)

    /**
     * Whether a request must not wait for the next renewal: without it the owner may not act, or its successor could
     * not take over after its death.
     */
    fun urgent(now: Long): Boolean = until < now || !echoed
}
