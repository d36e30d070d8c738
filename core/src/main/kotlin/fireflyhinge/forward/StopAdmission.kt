package fireflyhinge.forward

/**
 * Decides which requests a stopping VM still takes: those that are likely to end before it ends. Load: a planned stop
 * in full operation, when callers still use the addresses that they looked up before it. Thread-safe.
 */
class StopAdmission {
    private val durations = LinkedHashMap<String, RecentDurations>()

    /** Records that a request of [route] ended after [millis]. */
    @Synchronized
    fun recordEnd(route: ForwardRoute, millis: Long) {
        durations.getOrPut(route.name) { RecentDurations() }.add(millis)
        // Route names change with configurations.
        if (durations.size > MAX_ROUTES) durations.remove(durations.keys.first())
    }

    /**
     * Whether a request of [route] that may last up to [limitMillis] is likely to end within [leftMillis]. A request
     * that may not be repeated must fit with near certainty, since its caller would not learn whether it ran.
     */
    @Synchronized
    fun admits(route: ForwardRoute, limitMillis: Long, leftMillis: Long): Boolean {
        val share = if (route.retryable) RETRYABLE_SHARE else 1.0
        val typical = durations[route.name]?.quantile(share) ?: (route.objectiveMillis * UNKNOWN_FACTOR)
        return minOf(typical, limitMillis) <= leftMillis
    }

    private companion object {
        /** Part of the recent requests that must have ended in the time that is left. */
        const val RETRYABLE_SHARE = 0.9

        /** Assumed duration of a route without requests, as a multiple of its objective; streams go on after it. */
        const val UNKNOWN_FACTOR = 4

        /** Far more than the routes of one configuration that a VM serves. */
        const val MAX_ROUTES = 1_000
    }
}
