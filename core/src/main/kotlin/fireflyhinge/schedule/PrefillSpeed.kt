package fireflyhinge.schedule

import kotlin.math.ceil

/**
 * Speed of a prefill engine, estimated from the durations that holders report. Not thread-safe.
 *
 * A reported duration includes the wait in the engine's queue, network time and scheduling delays in the holder. It is
 * an upper bound of the engine's own time, so the estimate is the minimum of the last [WINDOW] bounds. An average was
 * up to five times too high, and stayed high: an engine that is taken to be busy yields no samples of an idle engine.
 */
internal class PrefillSpeed(initialTokensPerMilli: Double) {
    // The window starts filled with the initial estimate, because the first prefills of a new process are slow.
    private val bounds = ArrayDeque(List(WINDOW) { 1 / initialTokensPerMilli })

    /** Estimated time per token. */
    var millisPerToken = bounds.first()
        private set

    /** Estimated time for [tokens]. */
    fun millisFor(tokens: Int): Long = ceil(tokens * millisPerToken).toLong()

    /** Adds a prefill of [tokens] tokens that took at most [millis]. */
    fun add(tokens: Int, millis: Long) {
        if (tokens < MIN_TOKENS) return
        bounds.addLast(maxOf(millis, 1L).toDouble() / tokens)
        bounds.removeFirst()
        millisPerToken = bounds.min()
    }

    private companion object {
        /** A few seconds of prefills, so that a slower engine is soon noticed. */
        const val WINDOW = 50

        /** The duration of shorter prompts is dominated by network time. */
        const val MIN_TOKENS = 100
    }
}
