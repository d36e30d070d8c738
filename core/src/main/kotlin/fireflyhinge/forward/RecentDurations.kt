package fireflyhinge.forward

/** How long the most recent requests of a route took. Not thread-safe. */
internal class RecentDurations {
    private val durations = ArrayDeque<Long>()

    /** Adds a request that took [millis] and evicts the oldest one if the limit is exceeded. */
    fun add(millis: Long) {
        durations += millis
        if (durations.size > MAX_DURATIONS) durations.removeFirst()
    }

    /** Returns the shortest time in which [share] of the requests ended, in milliseconds; null without requests. */
    fun quantile(share: Double): Long? {
        val sorted = durations.sorted()
        return sorted.getOrNull(((sorted.size - 1) * share).toInt())
    }

    private companion object {
        /** Some ten seconds of a small VM's requests. */
        const val MAX_DURATIONS = 32
    }
}
