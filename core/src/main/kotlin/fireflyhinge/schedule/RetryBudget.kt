package fireflyhinge.schedule

/**
 * Retries allowed as [ratio] of the requests, as a token bucket of at most [limit]. It refills to [minimum] with time,
 * so that a workspace with few requests can retry too.
 */
internal class RetryBudget(private val ratio: Double, private val minimum: Double, private val limit: Double) {
    private var level = minimum
    private var refilledAt = Long.MIN_VALUE

    /** Counts a first attempt. */
    fun request() {
        level = minOf(limit, level + ratio)
    }

    /** Whether a retry is allowed at [now]. */
    fun allows(now: Long): Boolean {
        refill(now)
        return level >= 1 - ROUNDING
    }

    /** Takes one retry. */
    fun take() {
        level -= 1
    }

    private fun refill(now: Long) {
        if (refilledAt != Long.MIN_VALUE && level < minimum) {
            level = minOf(minimum, level + (now - refilledAt) * minimum / REFILL_MILLIS)
        }
        refilledAt = now
    }

    private companion object {
        const val REFILL_MILLIS = 10_000

        /** Ten requests allow one retry although ten times 0.1 is less than 1 in floating point. */
        const val ROUNDING = 1e-6
    }
}
