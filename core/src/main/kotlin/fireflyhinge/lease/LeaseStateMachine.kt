package fireflyhinge.lease

import fireflyhinge.peer.LeaseReply
import fireflyhinge.peer.LeaseRequest

/**
 * One process's side of the lease between the owner and the successor of each shard of its region, without I/O. An
 * owner may act for a shard while the successor of the shard promises not to. Every method takes the monotonic time of
 * the process in nanoseconds. Not thread-safe.
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
    private val requestHandler = LeaseRequestHandler(state)
    private val requests = LeaseRequests(state)
    private var lastTick = startedAt

    /** The leases under which this process may act. */
    val leases = ActingLeases(state, ::actingEpoch)

    /** Newest version of the region's map that this process has learned. */
    val knownMap: VersionedShardMap? get() = state.knownMap

    /** Whether this process knows of a higher epoch of some shard, from a peer's lease request, than [knownMap] has. */
    val outdated: Boolean
        get() = state.entries.withIndex().any { (shard, entry) -> state.successors.of(shard).knownEpoch > entry.epoch }

    /** Adopts [newer] unless an equal or newer version is known. Returns whether it was adopted. */
    fun learn(newer: VersionedShardMap, now: Long): Boolean = writer.learn(newer, now)

    /**
     * Epoch under which this process may act for [shard], or null if it may not. This is [ShardEntry.ownerEpoch], which
     * stays the same when the owner replaces its successor, while [ShardEntry.epoch] increases.
     */
    fun actingEpoch(shard: Int, now: Long): Long? {
        val lease = state.owners.all[shard] ?: return null
        val notPaused = now - lastTick <= times.pauseNanos && state.started(now)
        // A promise that this process made as successor binds it after its own takeover too: until the promise ends,
        // the previous owner may still act.
        val held = now < lease.until && now >= state.successors.of(shard).until
        return lease.entry.ownerEpoch.takeIf { notPaused && held }
    }

    /** Runs once per pass of the lease loop: detects pauses of this process and applies death evidence. */
    fun tick(view: RegionView, storeAvailable: Boolean, now: Long) {
        expireAfterPause(now)
        state.owners.applyEvidence(view.deadBy)
        takeovers.onEvidence(view, storeAvailable, now)
    }

    private fun expireAfterPause(now: Long) {
        if (now - lastTick > times.pauseNanos) {
            state.owners.expireAll(now)
            state.successors.expireAll(now)
        }
        lastTick = now
    }

    /** Handles a lease request of an owner. */
    fun handle(request: LeaseRequest, now: Long): LeaseReply {
        expireAfterPause(now)
        return requestHandler.handle(request, now)
    }

    /**
     * Requests to send now: one to each successor, and one to each replaced successor that must promise not to
     * act before this process may take over. Without [all], only the urgent renewals: those that let this process act
     * for shards for which it cannot act yet, and those without which the successor could not take over if this process
     * died now.
     */
    fun requests(view: RegionView, all: Boolean, now: Long): List<OutgoingLeaseRequest> =
        if (all) requests.next(takeovers.releasesToRequest(view, now)) else requests.next(emptyMap()) { it.urgent(now) }

    /** Applies the [reply] to [outgoing], which was sent at [sentAt] by the clock of this process. */
    fun onReply(outgoing: OutgoingLeaseRequest, reply: LeaseReply, sentAt: Long, now: Long) =
        requests.onReply(outgoing, reply, sentAt, now)

    /** Whether [nextWrite] would return a write. */
    fun hasNextWrite(view: RegionView, now: Long): Boolean = state.started(now) && writer.plan(view, now) != null

    /**
     * The write to send to the store now, or null if there is none. The caller reports its result with [learn] or
     * [onWriteFailed].
     */
    fun nextWrite(view: RegionView, now: Long): ShardMapWrite? =
        if (state.started(now)) writer.next(view, now) else null

    /** The last write did not take effect or, if [uncertain], may still take effect. */
    fun onWriteFailed(uncertain: Boolean) = writer.onFailed(uncertain)
}
