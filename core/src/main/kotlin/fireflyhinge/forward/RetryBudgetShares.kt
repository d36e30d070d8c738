package fireflyhinge.forward

/**
 * This VM's share of the repeated sends of each service. It earns a part of a send with each request and holds at most
 * its part of the slack, so that the sum over all VMs stays within the bounds in any window. Thread-safe.
 */
class RetryBudgetShares(private val bounds: RetryBounds, private val vms: () -> Int) {
    private val left = HashMap<String, Double>()

    /** Counts one request for [service]. */
    @Synchronized
    fun recordRequest(service: String) {
        left[service] = minOf(most(), holding(service) + bounds.ratio * USED_PART)
    }

    /** Takes one repeated send to [service]; false if none is left. */
    @Synchronized
    fun tryAcquire(service: String): Boolean {
        val held = holding(service)
        if (held < 1) return false
        left[service] = held - 1
        return true
    }

    /** Whether a repeated send to [service] could be taken now. */
    @Synchronized
    fun isAvailable(service: String): Boolean = holding(service) >= 1

    /** Gives back a repeated send that was taken and not used. */
    @Synchronized
    fun release(service: String) {
        left[service] = minOf(most(), holding(service) + 1)
    }

    private fun holding(service: String): Double = left[service] ?: most()

    private fun most(): Double = maxOf(1.0, bounds.slack * USED_PART / maxOf(1, vms()))

    private companion object {
        /** Part of the bounds that is used; the rest covers VMs that restart with a full share. */
        const val USED_PART = 0.9
    }
}
