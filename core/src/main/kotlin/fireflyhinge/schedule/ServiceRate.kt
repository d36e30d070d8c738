package fireflyhinge.schedule

/** Exponentially averaged rate of placed tokens while requests wait, over about two seconds. */
internal class ServiceRate {
    private var tokens = 0.0
    private var busyMillis = 0.0
    private var backlogSince: Long? = null

    /** The rate, or null until a backlog was observed for at least [MIN_OBSERVED_MILLIS]. */
    val tokensPerMilli: Double? get() = if (busyMillis < MIN_OBSERVED_MILLIS) null else tokens / busyMillis

    /** Records the tokens placed since the last call, and whether requests still wait. */
    fun record(placedTokens: Double, waiting: Boolean, now: Long) {
        backlogSince?.let { since ->
            val elapsed = (now - since).toDouble()
            val decay = Math.exp(-elapsed / WINDOW_MILLIS)
            tokens = tokens * decay + placedTokens
            busyMillis = busyMillis * decay + elapsed
        }
        backlogSince = if (waiting) now else null
    }

    private companion object {
        const val WINDOW_MILLIS = 2_000.0
        const val MIN_OBSERVED_MILLIS = 1_000.0
    }
}
