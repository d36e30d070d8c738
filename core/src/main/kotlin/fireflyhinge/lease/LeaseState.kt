package fireflyhinge.lease

/** What one process knows about its region's shards, shared by the parts of [LeaseBook]. Not thread-safe. */
internal class LeaseState(
    val self: ProcessId,
    val region: String,
    val shardCount: Int,
    val startedAt: Long,
    val times: LeaseTimes,
) {
    val owners = OwnerSide(self, times)
    val successors = SuccessorSide(self, times)
    val peers = PeerAnswers()

    /** Newest copy of the region's map. */
    var copy: MapCopy? = null

    /** Write whose result is not known. */
    var pending: MapWrite? = null

    /** Shards of [pending]. */
    val writing: Set<Int> get() = pending?.changes.orEmpty().keys

    /** Entries of [copy] by shard number. */
    val entries: List<ShardEntry> get() = copy?.map?.shards.orEmpty()

    /** Whether this process is old enough to promise and to act. */
    fun started(now: Long): Boolean = now - startedAt >= times.start
}
