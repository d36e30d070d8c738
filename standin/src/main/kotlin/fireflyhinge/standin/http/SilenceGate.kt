package fireflyhinge.standin.http

import java.util.concurrent.Semaphore
import java.util.concurrent.locks.LockSupport

/**
 * Makes the connections that are open at a moment silent for good, while new ones work. Each held call takes a thread,
 * so that holds are limited in number and time; beyond the limits the caller breaks the connection. Otherwise a long
 * silence would leave no thread for `/control/`.
 */
internal class SilenceGate {
    private val holds = Semaphore(MAX_HOLDS)
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

    /** Blocks while [condition] holds, within the limits; true if it does not hold any more. */
    fun holdWhile(condition: () -> Boolean): Boolean {
        if (!condition()) return true
        if (!holds.tryAcquire()) return false
        try {
            val end = System.nanoTime() + MAX_HOLD_NANOS
            while (!closed && condition() && System.nanoTime() < end) LockSupport.parkNanos(POLL_NANOS)
        } finally {
            holds.release()
        }
        return !condition()
    }

    /** Ends all waits. */
    fun close() {
        closed = true
    }

    private companion object {
        const val POLL_NANOS = 20_000_000L

        // Below the number of Tomcat's threads.
        const val MAX_HOLDS = 400

        // Longer than any deadline of the callers.
        const val MAX_HOLD_NANOS = 20_000_000_000L
    }
}
