package fireflyhinge.retry

/**
 * Limits retries to [share] of the requests, so that retries do not add load to a failing pool. Holds [minimum] retries
 * at the start and saves up to [limit].
 */
class RetryBudget(
    private val share: Double = 0.1,
    minimum: Double = 3.0,
    private val limit: Double = 100.0,
) {
    private var tokens = minimum

    /** Counts one accepted request. */
    @Synchronized
    fun accepted() {
        tokens = minOf(limit, tokens + share)
    }

    /** Takes one retry from the budget; false when it is used up. */
    @Synchronized
    fun tryRetry(): Boolean {
        if (tokens < 1) return false
        tokens -= 1
        return true
    }
}
