package fireflyhinge.forward

/**
 * This VM's share of the retry budget of each service. It accrues a fraction of a retry per request and is capped at
 * the VM's share of the slack, so that the sum over all VMs stays within the bounds in any window. Thread-safe.
 *
 * @param restarted whether a previous process of this VM may have used its share within the same window. A restarted VM
 * begins with its part of what [USED_FRACTION] leaves of the slack.
 */
class RetryBudgetShares(
    private val bounds: RetryBounds,
    private val restarted: Boolean = false,
    private val vms: () -> Int,
) {
    private val balances = HashMap<String, Double>()

    /** Counts one request for [service]. */
    @Synchronized
    fun recordRequest(service: String) {
        balances[service] = minOf(cap(), balance(service) + bounds.ratio * USED_FRACTION)
    }

    /** Takes one retry for [service]; false if the budget is exhausted. */
    @Synchronized
    fun tryAcquire(service: String): Boolean {
        val balance = balance(service)
        if (balance < 1) return false
        balances[service] = balance - 1
        return true
    }

    /** Whether a retry for [service] is available now. */
    @Synchronized
    fun isAvailable(service: String): Boolean = balance(service) >= 1

    /** Returns an unused retry to the budget. */
    @Synchronized
    fun release(service: String) {
        balances[service] = minOf(cap(), balance(service) + 1)
    }

    /** The cap may have fallen since the last request, since more VMs are known. */
    private fun balance(service: String): Double = minOf(cap(), balances[service] ?: initial())

    private fun initial(): Double =
        if (restarted) bounds.slack * (1 - USED_FRACTION) / maxOf(1, vms()) else cap()

    private fun cap(): Double = maxOf(1.0, bounds.slack * USED_FRACTION / maxOf(1, vms()))

    private companion object {
        /** Fraction of the bounds that is used; the rest covers VMs that restart with a full share. */
        const val USED_FRACTION = 0.9
    }
}
