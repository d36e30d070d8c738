package fireflyhinge.lease

import fireflyhinge.peer.LeaseReply
import fireflyhinge.peer.LeaseRequest

/** Builds the lease requests of an owner and applies the replies. Not thread-safe. */
internal class LeaseRequests(private val state: LeaseState) {
    /**
     * One request per process: the renewals of the leases that are [wanted], and the [releases] to request from
     * replaced successors.
     */
    fun next(
        releases: Map<ProcessId, List<Pair<Int, Long>>>,
        wanted: (OwnerLease) -> Boolean = { true },
    ): List<OutgoingLeaseRequest> {
        val renewals =
            state.owners.all.entries
                .filter { (_, lease) -> !lease.needsNoPromise && !lease.writing && wanted(lease) }
                .groupBy({ checkNotNull(it.value.entry.successor) }, { it.key to it.value.entry.epoch })
        return (renewals.keys + releases.keys).map { to ->
            OutgoingLeaseRequest(to = to, request = request(to, renewals[to].orEmpty() + releases[to].orEmpty()))
        }
    }

    private fun request(to: ProcessId, shards: List<Pair<Int, Long>>) =
        LeaseRequest(
            owner = state.self.vm,
            incarnation = state.self.incarnation,
            region = state.region,
            shards = shards.toMap(),
            successorIncarnation = to.incarnation,
            echo = state.peers.stampOf(to),
        )

    /** Applies the [reply] to [outgoing], which was sent at [sentAt]. */
    fun onReply(outgoing: OutgoingLeaseRequest, reply: LeaseReply, sentAt: Long, now: Long) {
        state.peers.onReply(outgoing, reply)
        outgoing.request.shards.filterKeys { it in reply.promised }.forEach { (shard, epoch) ->
            val current = state.owners.all[shard]?.entry?.successor == outgoing.to
            if (current) state.owners.promised(shard, epoch, sentAt, now)
        }
    }
}
