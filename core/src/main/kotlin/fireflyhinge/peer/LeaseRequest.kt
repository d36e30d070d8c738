package fireflyhinge.peer

/**
 * An owner's request that its successor does not act for the shards. Shards map to the epoch of the shard map that
 * names the two.
 *
 * @property successorIncarnation incarnation of the successor in the shard map; another process must not promise.
 * @property echo [LeaseReply.stamp] of the newest answer that the owner had from this process, or null. It proves that
 * the owner was alive after that moment, however late the request arrives.
 * @property sequence raised by the owner with each request.
 * @property floors for each shard that the owner acts for, tokens below which it does not let the levels of its quota
 * buckets fall, by workspace; a bucket without an entry has no floor.
 */
data class LeaseRequest(
    val owner: String,
    val incarnation: Long,
    val region: String,
    val shards: Map<Int, Long>,
    val successorIncarnation: Long,
    val echo: Long? = null,
    val sequence: Long = 0,
    val floors: Map<Int, Map<String, Long>> = emptyMap(),
)
