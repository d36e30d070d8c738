package fireflyhinge.standin.http

import java.util.concurrent.atomic.AtomicLong

/** Separates the connections that were open at a moment from later ones. */
internal class ConnectionCutoff {
    private val highest = AtomicLong(-1)

    @Volatile private var limit = -1L

    /** Records that [connection] was seen. */
    fun note(connection: Long) {
        highest.accumulateAndGet(connection, ::maxOf)
    }

    /** Covers all connections seen so far. */
    fun cut() {
        limit = highest.get()
    }

    /** Whether [connection] was open at the last [cut]. */
    fun covers(connection: Long): Boolean = connection <= limit
}
