package fireflyhinge.schedule

import kotlin.math.ceil

/**
 * Speed of a prefill engine, learned from the times that holders report. Not thread-safe.
 *
 * A reported time also has the wait in the engine's queue, messages, and the holder's own threads in it. So it is an
 * upper bound of the engine's time, and the least of the last [WINDOW] bounds is taken. An average was up to five times
 * too high, and then kept itself up: an engine that is believed to be busy gives no sample of an idle one.
 */
internal class PrefillSpeed(initialTokensPerMilli: Double) {
    // The initial estimate counts as a window of bounds, since the first prefills of new processes take long.
    private val bounds = ArrayDeque(List(WINDOW) { 1 / initialTokensPerMilli })

    /** Estimated time for one token. */
    var millisPerToken = bounds.first()
        private set

    /** Estimated time for [tokens]. */
    fun millisFor(tokens: Int): Long = ceil(tokens * millisPerToken).toLong()

    /** Adds a prefill of [read] tokens that took [took] milliseconds, or less. */
    fun add(read: Int, took: Long) {
        if (read < MIN_READ) return
        bounds.addLast(maxOf(took, 1L).toDouble() / read)
        bounds.removeFirst()
        millisPerToken = bounds.min()
    }

    private companion object {
        /** A few seconds of work, so that an engine that became slower is soon known to be. */
        const val WINDOW = 50

        /** Shorter prompts measure the messages rather than the engine. */
        const val MIN_READ = 100
    }
}
