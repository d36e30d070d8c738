package fireflyhinge.retry

import fireflyhinge.time.MonotonicClock

/**
 * Limits retries to [percent] of the requests plus [perSecond] retries a second, so that retries do not add load to a
 * failing pool and yet every accepted request gets its turn. Holds [minimum] retries at the start and saves up to
 * [limit].
 */
class RetryBudget(
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val percent: Int = 10,
    private val perSecond: Double = 5.0,
    minimum: Int = 3,
    private val limit: Int = 100,
) {
    // Counted in units of a billionth of a retry, as fractions must add up exactly.
    private var units = minimum * WHOLE
    private var updatedAt = clock.nanos()

    /** Counts one accepted request. */
    @Synchronized
    fun recordRequest() = add(percent * WHOLE / PERCENT)

    /** Takes one retry from the budget; false when it is used up. */
    @Synchronized
    fun tryAcquire(): Boolean {
        accrue()
        if (units < WHOLE) return false
        units -= WHOLE
        return true
    }

    /** Gives back a retry that was taken and not used. */
    @Synchronized
    fun refund() = add(WHOLE)

    private fun accrue() {
        val now = clock.nanos()
        add(((now - updatedAt) * perSecond).toLong())
        updatedAt = now
    }

    private fun add(amount: Long) {
        units = minOf(limit * WHOLE, units + amount)
    }

    private companion object {
        const val WHOLE = 1_000_000_000L
        const val PERCENT = 100
    }
}
