package fireflyhinge.standin.service

import java.util.concurrent.atomic.AtomicInteger

/** Faults of the plain service. */
class ServiceFaults {
    /** Delay of each call after it ran and before its answer. */
    @Volatile var delayMillis: Long = 0

    /** Whether calls are refused with 503 before they run. */
    @Volatile var refuse: Boolean = false

    private val closes = AtomicInteger()

    /** Closes the connection without an answer after each of the next [count] calls ran. */
    fun closeAfterRun(count: Int) = closes.set(count)

    internal fun takeClose(): Boolean = closes.getAndUpdate { maxOf(0, it - 1) } > 0
}
