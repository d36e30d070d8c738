package fireflyhinge.daemon.quota

import fireflyhinge.peer.Accepted
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Sends messages that have no result, in threads of its own; a message that fails is repeated a few times. */
internal class SettleSender(private val transport: PeerTransport) : AutoCloseable {
    private val threads =
        ScheduledThreadPoolExecutor(THREADS) { Thread(it, "quota-settle").apply { isDaemon = true } }

    /** Sends [message] to [path] of [vm]; it must be safe to repeat. */
    fun send(vm: String, path: String, message: Any) = attempt(vm, path, message, left = ATTEMPTS, delayMillis = 0)

    private fun attempt(vm: String, path: String, message: Any, left: Int, delayMillis: Long) {
        // A lost refund only costs the workspace tokens that accrue again; an unbounded queue would cost memory.
        if (left == 0 || threads.isShutdown || threads.queue.size > MAX_QUEUED) return
        threads.schedule({
            val result = transport.post(vm, path, message, Accepted::class.java, TIMEOUT_MILLIS)
            if (result !is PeerResult.Ok) attempt(vm, path, message, left - 1, REPEAT_MILLIS)
        }, delayMillis, TimeUnit.MILLISECONDS)
    }

    override fun close() = threads.shutdown()

    private companion object {
        const val THREADS = 4
        const val ATTEMPTS = 3
        const val MAX_QUEUED = 5_000
        const val TIMEOUT_MILLIS = 1000L
        const val REPEAT_MILLIS = 300L
    }
}
