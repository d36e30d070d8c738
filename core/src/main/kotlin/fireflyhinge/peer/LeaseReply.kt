package fireflyhinge.peer

/** Shards for which the successor promises, and shards that it refuses with the epoch it knows. */
data class LeaseReply(val promised: Set<Int>, val refused: Map<Int, Long> = emptyMap())
