package fireflyhinge.lease

import fireflyhinge.peer.LeaseReply
import fireflyhinge.peer.LeaseRequest

/** Shard state that lease requests replicate from owners to successors. Implementations are thread-safe. */
interface LeasePayload {
    /** Adds the state of the shards that this process acts for. Called immediately before [request] is sent. */
    fun attach(request: LeaseRequest): LeaseRequest

    /**
     * Stores the state in [request] for the shards that this process promised in [reply]. Called before [reply] is
     * sent.
     */
    fun received(request: LeaseRequest, reply: LeaseReply)

    /** Records which part of the state in [request] the successor holds according to [reply]. */
    fun acknowledged(request: LeaseRequest, reply: LeaseReply)

    /** The empty payload. */
    companion object {
        /** Adds no state to requests. */
        val NONE =
            object : LeasePayload {
                override fun attach(request: LeaseRequest) = request

                override fun received(request: LeaseRequest, reply: LeaseReply) = Unit

                override fun acknowledged(request: LeaseRequest, reply: LeaseReply) = Unit
            }
    }
}
