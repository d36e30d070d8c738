package fireflyhinge.daemon.lease

import fireflyhinge.lease.LeasePayload
import fireflyhinge.lease.RegionView
import fireflyhinge.peer.LeaseReply
import fireflyhinge.peer.LeaseRequest
import fireflyhinge.peer.PeerTransport
import fireflyhinge.time.MonotonicClock

/** Exchanges lease requests and the state that they carry with other processes. */
internal class LeaseTraffic(
    private val book: LockedBook,
    transport: PeerTransport,
    clock: MonotonicClock,
) : AutoCloseable {
    private val sender = LeaseSender(transport, clock, attach = { payload.attach(it) })

    /** What the requests carry. */
    @Volatile
    var payload: LeasePayload = LeasePayload.NONE

    /** Sends the requests that are due; with [all], also those that only renew. Does not block. */
    fun send(view: RegionView, all: Boolean) =
        book.use { now -> requests(view, all, now) }.forEach { outgoing ->
            sender.send(outgoing) { sent, reply, sentAt ->
                payload.acknowledged(sent.request, reply)
                book.use { now -> onReply(sent, reply, sentAt, now) }
            }
        }

    /** Answers an owner's request. */
    fun handle(request: LeaseRequest): LeaseReply =
        book.use { now -> handle(request, now) }.also { payload.received(request, it) }

    override fun close() = sender.close()
}
