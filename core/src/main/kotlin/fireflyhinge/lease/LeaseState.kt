package fireflyhinge.lease

/** State of one process for the shards of its region, shared by the parts of [LeaseStateMachine]. Not thread-safe. */
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

    /** Newest known version of the region's map. */
    var knownMap: VersionedShardMap? = null

    /** Write to the map whose result is not known. */
    var pendingWrite: ShardMapWrite? = null

    /** Shards that [pendingWrite] changes. */
    val writing: Set<Int> get() = pendingWrite?.changes.orEmpty().keys

    /** Entries of [knownMap] by shard number. */
    val entries: List<ShardEntry> get() = knownMap?.map?.shards.orEmpty()

    /** Whether the start-up delay, during which this process neither promises nor acts, is over at [now]. */
    fun started(now: Long): Boolean = now - startedAt >= times.startDelayNanos
}
