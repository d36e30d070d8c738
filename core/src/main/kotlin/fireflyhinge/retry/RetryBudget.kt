package fireflyhinge.retry

/**
 * Limits retries to [percent] of the requests, so that retries do not add load to a failing pool. Holds [minimum]
 * retries at the start and saves up to [limit]. Counted in hundredths, as fractions of a retry must add up exactly.
 */
class RetryBudget(
    private val percent: Int = 10,
    minimum: Int = 3,
    private val limit: Int = 100,
) {
    private var hundredths = minimum * WHOLE

    /** Counts one accepted request. */
    @Synchronized
    fun accepted() {
        hundredths = minOf(limit * WHOLE, hundredths + percent)
    }

    /** Takes one retry from the budget; false when it is used up. */
    @Synchronized
    fun tryRetry(): Boolean {
        if (hundredths < WHOLE) return false
        hundredths -= WHOLE
        return true
    }

    private companion object {
        const val WHOLE = 100
    }
}
