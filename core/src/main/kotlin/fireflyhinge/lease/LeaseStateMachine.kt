package fireflyhinge.lease

import fireflyhinge.peer.LeaseReply
import fireflyhinge.peer.LeaseRequest

/**
 * Rights and promises of one process for the shards of its region: all rules of the pair lease, without I/O. Every
 * method takes the process's monotonic time in nanoseconds. Not thread-safe.
 */
class LeaseStateMachine(
    self: ProcessId,
    region: String,
    shardCount: Int,
    startedAt: Long,
    private val times: LeaseTimes = LeaseTimes(),
) {
    private val state = LeaseState(self, region, shardCount, startedAt, times)
    private val writer = ShardMapWriter(state)
    private val takeovers = Takeovers(state)
    private val promises = LeaseRequestHandler(state)
    private val requests = LeaseRequests(state)
    private var lastTick = startedAt

    /** The leases under which this process may act, by shard and present time. */
    val leases = ActingLeases(state, ::actingEpoch)

    /** Newest copy of the region's map that this process has learned. */
    val knownMap: VersionedShardMap? get() = state.knownMap

    /** Whether a peer knows a newer map than [knownMap]. */
    val outdated: Boolean
        get() = state.entries.withIndex().any { (shard, entry) -> state.successors.of(shard).knownEpoch > entry.epoch }

    /** Learns [newer] unless an equal or newer copy is known. Returns whether it was newer. */
    fun learn(newer: VersionedShardMap, now: Long): Boolean = writer.learn(newer, now)

    /** Epoch under which this process may act for [shard], or null. It is the same while the owner stays the same. */
    fun actingEpoch(shard: Int, now: Long): Long? {
        val lease = state.owners.all[shard] ?: return null
        val awake = now - lastTick <= times.pauseNanos && state.started(now)
        return lease.entry.ownerEpoch.takeIf { awake && now < lease.until && now >= state.successors.of(shard).until }
    }

    /** Runs once per pass of the loop: notices pauses and evidence. */
    fun tick(view: RegionView, storeAnswers: Boolean, now: Long) {
        expireAfterGap(now)
        state.owners.useEvidence(view.deadBy)
        takeovers.onEvidence(view, storeAnswers, now)
    }

    private fun expireAfterGap(now: Long) {
        if (now - lastTick > times.pauseNanos) {
            state.owners.expireAll(now)
            state.successors.expireAll(now)
        }
        lastTick = now
    }

    /** Answers an owner's request. */
    fun handle(request: LeaseRequest, now: Long): LeaseReply {
        expireAfterGap(now)
        return promises.handle(request, now)
    }

    /**
     * Requests to send now: one to each successor, and one to each replaced successor that must give up its rights.
     * Unless [all] is set, only those that make this process act for shards for which it cannot act yet, and those
     * without which its successor could not act if this process died now.
     */
    fun requests(view: RegionView, all: Boolean, now: Long): List<OutgoingLeaseRequest> =
        if (all) requests.next(takeovers.releasesToAsk(view, now)) else requests.next(emptyMap()) { it.urgent(now) }

    /** Takes the [reply] to [outgoing], which was sent at [sentAt] by this process's clock. */
    fun onReply(outgoing: OutgoingLeaseRequest, reply: LeaseReply, sentAt: Long, now: Long) =
        requests.onReply(outgoing, reply, sentAt, now)

    /** Whether [nextWrite] would return a write. */
    fun hasNextWrite(view: RegionView, now: Long): Boolean = state.started(now) && writer.plan(view, now) != null

    /** The write to send to the store now, or null. The caller ends it by [learn] or [onWriteFailed]. */
    fun nextWrite(view: RegionView, now: Long): ShardMapWrite? =
        if (state.started(now)) writer.next(view, now) else null

    /** The last write did not reach the store, or with [uncertain] it may still take effect. */
    fun onWriteFailed(uncertain: Boolean) = writer.failed(uncertain)
}
