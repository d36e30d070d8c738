package fireflyhinge.lease

import fireflyhinge.peer.LeaseReply
import fireflyhinge.peer.LeaseRequest

/** State of shards that lease requests carry from owners to successors. Implementations are thread-safe. */
interface LeasePayload {
    /** Adds the state of the shards that this process acts for. Called just before [request] is sent. */
    fun attach(request: LeaseRequest): LeaseRequest

    /** Keeps the state in [request] for the shards that this process promised in [reply]. Called before it is sent. */
    fun received(request: LeaseRequest, reply: LeaseReply)

    /** Learns from [reply] which of the state in [request] the successor holds. */
    fun acknowledged(request: LeaseRequest, reply: LeaseReply)

    /** Payloads without content. */
    companion object {
        /** Carries nothing. */
        val NONE =
            object : LeasePayload {
                override fun attach(request: LeaseRequest) = request

                override fun received(request: LeaseRequest, reply: LeaseReply) = Unit

                override fun acknowledged(request: LeaseRequest, reply: LeaseReply) = Unit
            }
    }
}
