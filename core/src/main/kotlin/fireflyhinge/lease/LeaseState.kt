package fireflyhinge.lease

/** What one process knows about its region's shards, shared by the parts of [LeaseStateMachine]. Not thread-safe. */
internal class LeaseState(
    val self: ProcessId,
    val region: String,
    val shardCount: Int,
    val startedAt: Long,
    val times: LeaseTimes,
) {
    val owners = OwnerLeases(self, times)
    val successors = SuccessorPromises(self, times)
    val peers = PeerReplies()

    /** Newest copy of the region's map. */
    var knownMap: VersionedShardMap? = null

    /** Write whose result is not known. */
    var pending: ShardMapWrite? = null

    /** Shards of [pending]. */
    val writing: Set<Int> get() = pending?.changes.orEmpty().keys

    /** Entries of [knownMap] by shard number. */
    val entries: List<ShardEntry> get() = knownMap?.map?.shards.orEmpty()

    /** Whether this process is old enough to promise and to act. */
    fun started(now: Long): Boolean = now - startedAt >= times.startDelayNanos
}
