package fireflyhinge.gateway.forward

import fireflyhinge.gateway.http.monotonicMillis

/** Limits the number of log lines per second. Used on the event loop only. */
internal class LogRateLimiter {
    private var second = 0L
    private var used = 0

    /** Called for each line that is dropped. */
    var onDropped: () -> Unit = {}

    /** Returns whether another line may be written now, and counts it. */
    fun tryAcquire(): Boolean {
        val now = monotonicMillis() / MILLIS_PER_SECOND
        if (now != second) {
            second = now
            used = 0
        }
        if (used++ < MAX_LINES_PER_SECOND) return true
        onDropped()
        return false
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000L

        /** Ten times a VM's peak request rate; a line costs about 50 µs. */
        const val MAX_LINES_PER_SECOND = 200
    }
}
