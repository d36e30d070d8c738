package fireflyhinge.standin.store

/** Token bucket of [perSecond] calls with a depth of one second; 0 means no limit. */
internal class CallLimiter(private val perSecond: Int) {
    private var level = perSecond.toDouble()
    private var updated = System.nanoTime()

    /** Takes one call; false if the limit is reached. */
    @Synchronized
    fun take(): Boolean {
        if (perSecond == 0) return true
        val now = System.nanoTime()
        level = minOf(perSecond.toDouble(), level + (now - updated) * perSecond / NANOS_PER_SECOND)
        updated = now
        if (level < 1) return false
        level -= 1
        return true
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
