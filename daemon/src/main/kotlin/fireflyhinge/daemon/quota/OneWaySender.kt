package fireflyhinge.daemon.quota

import fireflyhinge.peer.Accepted
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Sends messages without a result in its own executor, with up to [MAX_ATTEMPTS] attempts each. */
internal class OneWaySender(private val transport: PeerTransport) : AutoCloseable {
    private val executor =
        ScheduledThreadPoolExecutor(THREADS) { Thread(it, "quota-settle").apply { isDaemon = true } }

    /** Sends [message] to [path] of [vm] without blocking. The message must be idempotent. */
    fun send(vm: String, path: String, message: Any) =
        schedule(vm, path, message, attemptsLeft = MAX_ATTEMPTS, delayMillis = 0)

    private fun schedule(vm: String, path: String, message: Any, attemptsLeft: Int, delayMillis: Long) {
        // A lost refund only costs the workspace tokens that accrue again; an unbounded queue would cost memory.
        if (attemptsLeft == 0 || executor.isShutdown || executor.queue.size > MAX_QUEUED) return
        executor.schedule({
            val result = transport.post(vm, path, message, Accepted::class.java, TIMEOUT_MILLIS)
            if (result !is PeerResult.Ok) schedule(vm, path, message, attemptsLeft - 1, RETRY_DELAY_MILLIS)
        }, delayMillis, TimeUnit.MILLISECONDS)
    }

    override fun close() = executor.shutdown()

    private companion object {
        const val THREADS = 4
        const val MAX_ATTEMPTS = 3
        const val MAX_QUEUED = 5_000
        const val TIMEOUT_MILLIS = 1_000L
        const val RETRY_DELAY_MILLIS = 300L
    }
}
