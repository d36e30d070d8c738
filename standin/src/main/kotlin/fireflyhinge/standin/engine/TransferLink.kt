package fireflyhinge.standin.engine

import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit

/** A link on which transfers follow one another in the order of their arrival. */
internal class TransferLink(private val megabytesPerSecond: Long) {
    private val turn = Semaphore(1, true)

    /** Time that [bytes] occupy the link. */
    fun nanosFor(bytes: Long): Long = bytes * NANOS_PER_MICRO / megabytesPerSecond

    /** Runs [transfer] alone on the link; null if [stop] held before its turn. */
    fun <T : Any> exclusively(
        stop: () -> Boolean,
        transfer: () -> T?,
    ): T? {
        while (!turn.tryAcquire(SLICE_MILLIS, TimeUnit.MILLISECONDS)) if (stop()) return null
        try {
            return transfer()
        } finally {
            turn.release()
        }
    }

    private companion object {
        const val SLICE_MILLIS = 20L

        // One megabyte per second is one byte per microsecond.
        const val NANOS_PER_MICRO = 1_000L
    }
}
