package fireflyhinge.lease

import fireflyhinge.peer.LeaseReply
import fireflyhinge.peer.LeaseRequest

/** Handles the lease requests of owners. Not thread-safe. */
internal class LeaseRequestHandler(private val state: LeaseState) {
    /** Promises for those shards of [request] for which this process may promise at [now]. */
    fun handle(request: LeaseRequest, now: Long): LeaseReply {
        val accepted = request.region == state.region && request.successorIncarnation == state.self.incarnation
        if (!accepted) return LeaseReply(promised = emptySet(), refused = request.shards.mapValues { Long.MAX_VALUE })
        if (!state.started(now)) return LeaseReply(promised = emptySet(), stamp = now)
        val promised = request.shards.filter { (shard, epoch) -> promise(shard, epoch, request, now) }.keys
        val refused = (request.shards.keys - promised).associateWith { state.successors.of(it).knownEpoch }
        return LeaseReply(promised = promised, refused = refused, stamp = now)
    }

    private fun promise(shard: Int, epoch: Long, request: LeaseRequest, now: Long): Boolean {
        val owner = ProcessId(vm = request.owner, incarnation = request.incarnation)
        // The store may already hold a pending takeover, whose successor could take over in turn without asking the
        // current owner. The current owner must not act on a promise that is made in the meantime.
        if (shard in state.writing || contradicts(shard, epoch, owner)) return false
        if (!state.successors.promise(shard, owner, epoch, request.echo, now)) return false
        state.owners.yieldTo(shard, epoch)
        return true
    }

    private fun contradicts(shard: Int, epoch: Long, owner: ProcessId): Boolean {
        val known = state.entries.getOrNull(shard)
        val takenOver = state.owners.all[shard]?.let { !it.confirmed && it.entry.epoch > epoch } ?: false
        return takenOver || (known != null && (known.epoch > epoch || known.epoch == epoch && known.owner != owner))
    }
}
