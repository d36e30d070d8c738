package fireflyhinge.standin.http

import java.util.concurrent.locks.LockSupport

/** Makes the connections that are open at a moment silent for good, while new ones work. */
internal class SilenceGate {
    private val cutoff = ConnectionCutoff()

    @Volatile private var closed = false

    /** Records that [connection] was seen. */
    fun note(connection: Long) = cutoff.note(connection)

    /** Silences all connections seen so far. */
    fun silenceOpen() = cutoff.cut()

    /** Whether [connection] must not send anything. */
    fun isSilent(connection: Long): Boolean = cutoff.covers(connection)

    /** Blocks while [connection] is silent, until [until] holds or the server closes; false if it is silent still. */
    fun hold(connection: Long, until: () -> Boolean = { false }): Boolean {
        holdWhile { isSilent(connection) && !until() }
        return !isSilent(connection)
    }

    /** Blocks while [condition] holds and the server is open. */
    fun holdWhile(condition: () -> Boolean) {
        while (!closed && condition()) LockSupport.parkNanos(POLL_NANOS)
    }

    /** Ends all waits. */
    fun close() {
        closed = true
    }

    private companion object {
        const val POLL_NANOS = 20_000_000L
    }
}
