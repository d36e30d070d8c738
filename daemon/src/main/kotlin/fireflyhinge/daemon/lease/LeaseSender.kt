package fireflyhinge.daemon.lease

import fireflyhinge.lease.OutgoingLeaseRequest
import fireflyhinge.lease.ProcessId
import fireflyhinge.peer.LeaseReply
import fireflyhinge.peer.LeaseRequest
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import fireflyhinge.time.MonotonicClock
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * Sends lease requests without blocking the loop, at most one at a time to each process.
 *
 * @param attach adds what a request carries, just before it is sent.
 */
internal class LeaseSender(
    private val transport: PeerTransport,
    private val clock: MonotonicClock,
    private val attach: (LeaseRequest) -> LeaseRequest,
) : AutoCloseable {
    private val busy = ConcurrentHashMap.newKeySet<ProcessId>()
    private val threads =
        ThreadPoolExecutor(0, MAX_THREADS, 10, TimeUnit.SECONDS, SynchronousQueue()) { task ->
            Thread(task, "lease-sender").apply { isDaemon = true }
        }

    /** Sends [outgoing]; [onReply] gets what was sent, the answer and the time of sending. Sends one at a time. */
    fun send(outgoing: OutgoingLeaseRequest, onReply: (OutgoingLeaseRequest, LeaseReply, Long) -> Unit) {
        if (!busy.add(outgoing.to)) return
        try {
            threads.execute { exchange(outgoing, onReply) }
        } catch (e: RejectedExecutionException) {
            busy.remove(outgoing.to)
            log.warn("a lease request to {} was not sent: {}", outgoing.to, e.message)
        }
    }

    private fun exchange(outgoing: OutgoingLeaseRequest, onReply: (OutgoingLeaseRequest, LeaseReply, Long) -> Unit) {
        try {
            val sentAt = clock.nanos()
            val sent = outgoing.copy(request = attach(outgoing.request))
            val result = post(sent)
            if (result is PeerResult.Ok) onReply(sent, result.value, sentAt)
        } finally {
            busy.remove(outgoing.to)
        }
    }

    private fun post(outgoing: OutgoingLeaseRequest) =
        transport.post(
            vm = outgoing.to.vm,
            path = "/peer/v1/lease",
            message = outgoing.request,
            reply = LeaseReply::class.java,
            timeoutMillis = TIMEOUT_MILLIS,
        )

    override fun close() = threads.shutdown()

    private companion object {
        const val MAX_THREADS = 64
        val log = LoggerFactory.getLogger(LeaseSender::class.java)

        /** Below the renewal interval, so that a lost message does not delay the next one. */
        const val TIMEOUT_MILLIS = 900L
    }
}
