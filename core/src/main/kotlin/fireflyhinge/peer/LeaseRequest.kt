package fireflyhinge.peer

/**
 * An owner's request that its successor promises not to act as owner of the shards. Each shard is mapped to the epoch
 * of the shard map that lists these two VMs.
 *
 * @property successorIncarnation incarnation of the successor in the shard map; a process with another one must not
 * promise.
 * @property echo [LeaseReply.stamp] of the newest reply that the owner received from this process, or null. It proves
 * that the owner was alive after that time, however late the request arrives.
 * @property sequence increased by the owner with each request.
 * @property floors for each shard that the owner acts for, the minimum level in tokens of its quota buckets, by
 * workspace; a bucket without an entry has no floor.
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
