package fireflyhinge.daemon.caller

import org.slf4j.LoggerFactory

/** A caller whose connection is probed by another thread with [closed] until [end]. */
internal class WatchedCaller(private val closed: () -> Boolean) : CallerLink {
    private val lock = Any()
    private var ended = false
    private var action: (() -> Unit)? = null

    @Volatile
    private var gone = false

    override fun departed(): Boolean = gone

    override fun <T> onDeparture(action: () -> Unit, block: () -> T): T {
        synchronized(lock) {
            this.action = action
            if (gone) action()
        }
        return try {
            block()
        } finally {
            synchronized(lock) { this.action = null }
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
            if (gone) action?.invoke()
        }
    }

    /** Ends probing; returns when no probe is running. */
    fun end() = synchronized(lock) { ended = true }

    private companion object {
        val log = LoggerFactory.getLogger(WatchedCaller::class.java)
    }
}
