package fireflyhinge.forward

/**
 * This VM's part of one workspace's limit: a token bucket with an equal share of the rate and depth. Not thread-safe;
 * times are monotonic milliseconds.
 */
internal class QuotaShare(var rate: Double, var depth: Double, level: Double, private var at: Long) {
    var level: Double = level
        private set

    fun advance(now: Long) {
        if (now > at) level = minOf(depth, level + rate * (now - at) / MILLIS_PER_SECOND)
        at = maxOf(at, now)
    }

    fun take(tokens: Double): Boolean {
        if (tokens > level) return false
        level -= tokens
        return true
    }

    fun add(tokens: Double) {
        level = minOf(depth, level + tokens)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
