package fireflyhinge.lease

import fireflyhinge.peer.LeaseReply

/** Information from the replies of other processes to lease requests. Not thread-safe. */
internal class PeerReplies {
    private val stamps = HashMap<ProcessId, Long>()
    private val releasedEpochs = HashMap<Pair<Int, ProcessId>, Long>()

    /** Stamp of the newest promising reply from [process], or null if there is none. */
    fun stampOf(process: ProcessId): Long? = stamps[process]

    /**
     * Records a [reply]. A peer that promised under an epoch, or that knows a later epoch, has no right to act from
     * earlier epochs.
     */
    fun onReply(outgoing: OutgoingLeaseRequest, reply: LeaseReply) {
        if (reply.promised.isNotEmpty()) stamps.merge(outgoing.to, reply.stamp, ::maxOf)
        outgoing.request.shards.forEach { (shard, epoch) ->
            val known = if (shard in reply.promised) epoch else reply.refused[shard] ?: return@forEach
            releasedEpochs.merge(shard to outgoing.to, known, ::maxOf)
        }
    }

    /** Whether [process] is known to have no right to act for [shard] from an epoch before [epoch]. */
    fun released(shard: Int, epoch: Long, process: ProcessId): Boolean =
        (releasedEpochs[shard to process] ?: return false) >= epoch

    /** Removes the records of processes that are not in [named]. */
    fun retain(named: Set<ProcessId>) {
        stamps.keys.retainAll(named)
        releasedEpochs.keys.removeIf { it.second !in named }
    }
}
