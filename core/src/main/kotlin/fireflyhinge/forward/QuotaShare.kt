package fireflyhinge.forward

/**
 * Token bucket with this VM's share of the rate and depth of one workspace's limit. Not thread-safe; times are
 * monotonic milliseconds.
 */
internal class QuotaShare(var rate: Double, depth: Double, level: Double, private var updatedAt: Long) {
    var level: Double = level
        private set

    /** Most tokens that accrue; 0 while this VM holds no share. */
    var depth: Double = depth
        private set

    /** Depth of the last share that this VM held. */
    private var heldDepth = depth

    /** Time until which [rate] holds. */
    var rateUntil = Long.MAX_VALUE

    /** Time at which this VM ceased to hold a share of the limit or got tokens back since; null while it holds one. */
    var endedAt: Long? = null
        private set

    /** Whether tokens from before [endedAt] may be left. */
    private var keepsTokens = false

    fun advance(now: Long) {
        val until = minOf(now, rateUntil)
        val accrued = rate * (until - updatedAt) / MILLIS_PER_SECOND
        if (until > updatedAt && level < depth) level = minOf(depth, level + accrued)
        updatedAt = maxOf(updatedAt, now)
    }

    fun take(tokens: Double): Boolean {
        if (tokens > level) return false
        level -= tokens
        return true
    }

    /**
     * Sets the depth to [newDepth]. Tokens that were stored under a greater depth are lost beyond the new one: either
     * the limit was lowered, or other VMs hold a part of it that this one held. If the share is not [held] any more,
     * [hold] decides on what is left.
     */
    fun resize(newDepth: Double, held: Boolean) {
        depth = newDepth
        if (!held) return
        if (newDepth < heldDepth) level = minOf(level, newDepth)
        heldDepth = newDepth
    }

    /** Adds tokens that were taken before, here or on another VM; they may exceed the depth. */
    fun add(tokens: Double) {
        level += tokens
    }

    /**
     * Sets whether this VM holds a share now. What one that holds none any more has left beyond [reserve] is dropped
     * [DROP_MILLIS] later: its successor accrues tokens of its own.
     */
    fun hold(held: Boolean, reserve: Double, now: Long) {
        if (held) {
            endedAt = null
            return
        }
        val ended = endedAt ?: minOf(now, rateUntil)
        if (endedAt == null) keepsTokens = true
        endedAt = ended
        if (!keepsTokens || now - ended < DROP_MILLIS) return
        level = minOf(level, reserve)
        keepsTokens = false
    }

    /** Adds tokens that are returned, up to a level of [most]; those beyond it are lost. */
    fun addReturned(tokens: Double, most: Double, now: Long) {
        add(minOf(tokens, maxOf(0.0, most - level)))
        if (endedAt == null) return
        endedAt = now
        keepsTokens = true
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Ten attempts to repay the tokens to a holder. */
        const val DROP_MILLIS = 2_000L
    }
}
