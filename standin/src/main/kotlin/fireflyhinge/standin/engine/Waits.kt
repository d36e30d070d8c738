package fireflyhinge.standin.engine

import java.util.concurrent.locks.LockSupport

/** Waits that end early when their request is cancelled. */
internal object Waits {
    private const val SLICE_NANOS = 20_000_000L

    /** Waits [nanos]; false if [stop] held before the end. */
    fun sleep(
        nanos: Long,
        stop: () -> Boolean,
    ): Boolean {
        val end = System.nanoTime() + nanos
        while (!stop()) {
            val left = end - System.nanoTime()
            if (left <= 0) return true
            LockSupport.parkNanos(minOf(left, SLICE_NANOS))
        }
        return false
    }
}
