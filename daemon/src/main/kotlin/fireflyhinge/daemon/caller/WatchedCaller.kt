package fireflyhinge.daemon.caller

import org.slf4j.LoggerFactory

/** A caller whose connection is probed by another thread with [closed] until [end]. */
internal class WatchedCaller(private val closed: () -> Boolean) : CallerLink {
    private val lock = Any()
    private var ended = false
    private var waiting: Thread? = null

    @Volatile
    private var gone = false

    override fun departed(): Boolean = gone

    override fun <T> interruptible(block: () -> T): T {
        synchronized(lock) {
            waiting = Thread.currentThread()
            if (gone) waiting?.interrupt()
        }
        return try {
            block()
        } finally {
            synchronized(lock) {
                waiting = null
                Thread.interrupted()
            }
        }
    }

    /** Probes the connection once. The lock keeps the probe off the connection once the request has ended. */
    @Suppress("TooGenericExceptionCaught") // A failed probe must not stop the probes of the other callers.
    fun probe() {
        synchronized(lock) {
            if (ended || gone) return
            try {
                gone = closed()
            } catch (e: RuntimeException) {
                log.warn("probe of a caller's connection failed", e)
            }
            if (gone) waiting?.interrupt()
        }
    }

    /** Ends probing; returns when no probe is running. */
    fun end() = synchronized(lock) { ended = true }

    private companion object {
        val log = LoggerFactory.getLogger(WatchedCaller::class.java)
    }
}
