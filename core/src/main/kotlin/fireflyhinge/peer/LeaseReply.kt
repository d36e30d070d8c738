package fireflyhinge.peer

/**
 * Shards for which the successor promises, and shards that it refuses with the epoch it knows.
 *
 * @property stamp the successor's monotonic clock in nanoseconds; the owner echoes it in its next request.
 */
data class LeaseReply(val promised: Set<Int>, val refused: Map<Int, Long> = emptyMap(), val stamp: Long = 0)
