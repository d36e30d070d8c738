package fireflyhinge.peer

/**
 * Shards for which the successor gives the promise, and refused shards with the epoch that the successor knows.
 *
 * @property stamp the successor's monotonic clock in nanoseconds; the owner returns it in its next request.
 */
data class LeaseReply(val promised: Set<Int>, val refused: Map<Int, Long> = emptyMap(), val stamp: Long = 0)
