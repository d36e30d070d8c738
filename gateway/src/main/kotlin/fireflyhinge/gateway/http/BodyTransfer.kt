package fireflyhinge.gateway.http

import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import java.io.IOException

/**
 * Limits the time for the body of a response by its progress, since a body that is given up and requested again takes
 * longer still.
 *
 * @param onBegin called when the response begins.
 */
class BodyTransfer(val onBegin: () -> Unit = {}) {
    private var end = Long.MAX_VALUE

    internal fun begin() {
        end = monotonicMillis() + MAX_MILLIS
        onBegin()
    }

    /** Returns what [read] returns; throws [IOException] if that takes too long. */
    internal suspend fun next(read: suspend () -> ByteArray?): ByteArray? {
        val limit = minOf(MAX_PAUSE_MILLIS, end - monotonicMillis())
        return try {
            withTimeout(limit) { read() }
        } catch (e: TimeoutCancellationException) {
            throw IOException("a body did not arrive in time", e)
        }
    }

    private companion object {
        /** A sender that lives sends some bytes within this time, however many share its link. */
        const val MAX_PAUSE_MILLIS = 1_000L

        /** Bounds a body that trickles. */
        const val MAX_MILLIS = 10_000L
    }
}
