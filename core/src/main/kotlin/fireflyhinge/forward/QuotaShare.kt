package fireflyhinge.forward

/**
 * Token bucket with this VM's share of the rate and depth of one workspace's limit. Not thread-safe; times are
 * monotonic milliseconds.
 */
internal class QuotaShare(var rate: Double, var depth: Double, level: Double, private var updatedAt: Long) {
    var level: Double = level
        private set

    fun advance(now: Long) {
        val accrued = rate * (now - updatedAt) / MILLIS_PER_SECOND
        if (now > updatedAt && level < depth) level = minOf(depth, level + accrued)
        updatedAt = maxOf(updatedAt, now)
    }

    fun take(tokens: Double): Boolean {
        if (tokens > level) return false
        level -= tokens
        return true
    }

    /** Adds tokens that were taken before, here or on another VM; they may exceed the depth. */
    fun add(tokens: Double) {
        level += tokens
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
