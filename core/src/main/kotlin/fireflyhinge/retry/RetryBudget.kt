package fireflyhinge.retry

import fireflyhinge.time.MonotonicClock

/**
 * Limits retries to [percent] of the requests plus [perSecond] retries a second, so that retries do not add load to a
 * failing pool and yet every accepted request gets its turn. Holds [initial] retries at the start and saves up to
 * [capacity].
 */
class RetryBudget(
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val percent: Int = 10,
    private val perSecond: Double = 5.0,
    initial: Int = 3,
    private val capacity: Int = 100,
) {
    // Integer units of a billionth of a retry, so that fractions add up exactly.
    private var units = initial * UNITS_PER_RETRY
    private var updatedAt = clock.nanos()

    /** Counts one accepted request. */
    @Synchronized
    fun recordRequest() = add(percent * UNITS_PER_RETRY / PERCENT)

    /** Takes one retry from the budget; false if it is exhausted. */
    @Synchronized
    fun tryAcquire(): Boolean {
        accrue()
        if (units < UNITS_PER_RETRY) return false
        units -= UNITS_PER_RETRY
        return true
    }

    /** Returns a retry that was taken and not used. */
    @Synchronized
    fun refund() = add(UNITS_PER_RETRY)

    private fun accrue() {
        val now = clock.nanos()
        add(((now - updatedAt) * perSecond).toLong())
        updatedAt = now
    }

    private fun add(amount: Long) {
        units = minOf(capacity * UNITS_PER_RETRY, units + amount)
    }

    private companion object {
        const val UNITS_PER_RETRY = 1_000_000_000L
        const val PERCENT = 100
    }
}
