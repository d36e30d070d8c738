package fireflyhinge.forward

/**
 * This VM's part of one workspace's limit: a token bucket with an equal share of the rate and depth. Not thread-safe;
 * times are monotonic milliseconds.
 */
internal class QuotaShare(var rate: Double, var depth: Double, level: Double, private var at: Long) {
    var level: Double = level
        private set

    fun advance(now: Long) {
        val accrued = rate * (now - at) / MILLIS_PER_SECOND
        if (now > at && level < depth) level = minOf(depth, level + accrued)
        at = maxOf(at, now)
    }

    fun take(tokens: Double): Boolean {
        if (tokens > level) return false
        level -= tokens
        return true
    }

    /** Adds tokens that were taken before, here or on another VM; none of them is lost at the depth. */
    fun add(tokens: Double) {
        level += tokens
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
