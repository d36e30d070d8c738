package fireflyhinge.lease

import fireflyhinge.peer.LeaseReply

/** What other processes answered to lease requests. Not thread-safe. */
internal class PeerReplies {
    private val stamps = HashMap<ProcessId, Long>()
    private val released = HashMap<Pair<Int, ProcessId>, Long>()

    /** Stamp of the newest answer from [process], or null. */
    fun stampOf(process: ProcessId): Long? = stamps[process]

    /** Records a [reply]. A peer that promised under an epoch, or knows a later one, has no right from earlier ones. */
    fun onReply(outgoing: OutgoingLeaseRequest, reply: LeaseReply) {
        if (reply.promised.isNotEmpty()) stamps.merge(outgoing.to, reply.stamp, ::maxOf)
        outgoing.request.shards.forEach { (shard, epoch) ->
            val known = if (shard in reply.promised) epoch else reply.refused[shard] ?: return@forEach
            released.merge(shard to outgoing.to, known, ::maxOf)
        }
    }

    /** Whether [process] is known to have no right to [shard] from an epoch before [epoch]. */
    fun released(shard: Int, epoch: Long, process: ProcessId): Boolean =
        (released[shard to process] ?: return false) >= epoch

    /** Forgets processes other than those in [named]. */
    fun retain(named: Set<ProcessId>) {
        stamps.keys.retainAll(named)
        released.keys.removeIf { it.second !in named }
    }
}
