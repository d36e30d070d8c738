package fireflyhinge.gateway.forward

import fireflyhinge.gateway.http.nowMillis

/** Bounds the log lines of each second. Used on the event loop. */
internal class LogRateLimiter {
    private var second = 0L
    private var used = 0

    /** Called for each line that is not written. */
    var onDropped: () -> Unit = {}

    /** Whether another line may be written now. */
    fun take(): Boolean {
        val now = nowMillis() / MILLIS_PER_SECOND
        if (now != second) {
            second = now
            used = 0
        }
        if (used++ < MOST_LINES) return true
        onDropped()
        return false
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000L

        /** Ten times the requests of a VM at today's peak; a line costs some 50 microseconds. */
        const val MOST_LINES = 200
    }
}
