package fireflyhinge.forward

import kotlin.math.exp

/**
 * How long one prefill replica takes for a prompt, by this VM's own prompts, compared with an idle engine of known
 * speed. It includes the queue at the replica, which no report shows in time. Not thread-safe; times are monotonic
 * milliseconds.
 */
internal class PrefillSpeedEstimate {
    private var slowness = 1.0
    private var at = 0L

    /** A prompt of [tokens] was read within [elapsedMillis], or was not read within that time. */
    fun observed(tokens: Int, elapsedMillis: Long, now: Long) {
        val idle = maxOf(LEAST_MILLIS, tokens / TOKENS_PER_MILLI)
        slowness = excess(now) + 1 + (elapsedMillis / idle - 1 - excess(now)) * WEIGHT
        at = now
    }

    /** Expected time beyond that of an idle engine, in multiples of the latter; fades, because queues end. */
    fun excess(now: Long): Double = maxOf(0.0, slowness - 1) * exp(-(now - at) / FADE_MILLIS)

    private companion object {
        /** Speed of an engine that reads one prompt. */
        const val TOKENS_PER_MILLI = 50.0

        /** Network and set-up of a short prompt. */
        const val LEAST_MILLIS = 20.0

        /** Some three prompts decide. */
        const val WEIGHT = 0.4

        /** Bursts last some seconds. */
        const val FADE_MILLIS = 1_500.0
    }
}
