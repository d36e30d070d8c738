package fireflyhinge.lease

/**
 * An owner's right to act for one shard under [entry].
 *
 * @property confirmed false while the entry is the process's own, taken on evidence and not yet in the store.
 */
internal data class OwnerLease(
    val entry: ShardEntry,
    val learnedAt: Long,
    val confirmed: Boolean = true,
    val leaseUntil: Long = Long.MIN_VALUE,
    val lastAnswer: Long = learnedAt,
    val successorDead: Boolean = false,
    val limit: Long = Long.MAX_VALUE,
    val writing: Boolean = false,
) {
    /** Whether the owner needs no promise: no process could take over by time. */
    val alone: Boolean get() = entry.successor == null || successorDead

    /** Moment at which the owner must stop acting. */
    val until: Long get() = minOf(limit, if (alone) Long.MAX_VALUE else leaseUntil)
}
