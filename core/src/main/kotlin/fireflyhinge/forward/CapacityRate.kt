package fireflyhinge.forward

/** Rate at which waiting requests got capacity, and times at which refused ones may return. Not thread-safe. */
internal class CapacityRate(private val random: () -> Double) {
    private val taken = ArrayDeque<Pair<Long, Double>>()
    private var contendedSince: Long? = null
    private var nextReturnMillis = 0L

    /** Records that a request of [cost] got capacity. */
    fun record(cost: Double, now: Long) {
        taken.addLast(now to cost)
        while (taken.size > MAX_RECORDS) taken.removeFirst()
    }

    /** Records whether requests wait at [now]. */
    fun recordContention(waiting: Boolean, now: Long) {
        contendedSince = if (waiting) contendedSince ?: now else null
    }

    /** Cost per millisecond; null while requests have not waited long enough to tell. */
    fun perMilli(now: Long): Double? {
        val since = contendedSince ?: return null
        val span = minOf(now - since, WINDOW_MILLIS)
        if (span < MIN_SPAN_MILLIS) return null
        return taken.filter { it.first > now - span }.sumOf { it.second } / span
    }

    /**
     * Time after which a refused request of [cost] may return, given the wait of [waitMillis] that it would have had.
     * Returns follow each other at a part of the rate, so that they do not meet at the same moment again.
     */
    fun retryAfterMillis(cost: Double, waitMillis: Double, now: Long): Long {
        val rate = perMilli(now) ?: 0.0
        val gap = if (rate > 0) cost / (rate * RETURN_SHARE) else MAX_RETURN_MILLIS.toDouble()
        val earliest = now + waitMillis.coerceIn(MIN_RETURN_MILLIS.toDouble(), MAX_RETURN_MILLIS / 2.0).toLong()
        nextReturnMillis = maxOf(nextReturnMillis, earliest) + gap.coerceAtMost(MAX_GAP_MILLIS).toLong()
        // Beyond the maximum, returns are spread at random.
        if (nextReturnMillis - now > MAX_RETURN_MILLIS) {
            return (MAX_RETURN_MILLIS * (1 + random()) / 2).toLong()
        }
        return nextReturnMillis - now
    }

    private companion object {
        /** About the time for which a request holds its slot. */
        const val WINDOW_MILLIS = 3_000L
        const val MIN_SPAN_MILLIS = 500L
        const val MAX_RECORDS = 10_000

        /** Part of the capacity that returning requests may take. */
        const val RETURN_SHARE = 0.3
        const val MIN_RETURN_MILLIS = 1_000L
        const val MAX_RETURN_MILLIS = 6_000L
        const val MAX_GAP_MILLIS = 500.0
    }
}
