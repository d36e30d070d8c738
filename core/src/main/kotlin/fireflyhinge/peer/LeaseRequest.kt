package fireflyhinge.peer

/**
 * An owner's request that its successor does not act for the shards. Shards map to the epoch of the shard map that
 * names the two.
 */
data class LeaseRequest(
    val owner: String,
    val incarnation: Long,
    val region: String,
    val shards: Map<Int, Long>,
)
