package fireflyhinge.forward

import kotlin.math.exp

/**
 * Prefill time of one replica relative to an idle engine, measured with this VM's own prompts. It includes the queue
 * at the replica, which load reports show too late. Not thread-safe; times are monotonic milliseconds.
 */
internal class PrefillSpeedEstimate {
    private var slowness = 1.0
    private var updatedAt = 0L

    /** Records a prefill of [tokens] that completed after [elapsedMillis] or timed out then. */
    fun record(tokens: Int, elapsedMillis: Long, now: Long) {
        val idleMillis = maxOf(MIN_PREFILL_MILLIS, tokens / TOKENS_PER_MILLI)
        slowness = excess(now) + 1 + (elapsedMillis / idleMillis - 1 - excess(now)) * SAMPLE_WEIGHT
        updatedAt = now
    }

    /** Expected time beyond that of an idle engine, in multiples of it; decays because queues drain. */
    fun excess(now: Long): Double = maxOf(0.0, slowness - 1) * exp(-(now - updatedAt) / DECAY_MILLIS)

    private companion object {
        /** Speed of an engine with a single prompt. */
        const val TOKENS_PER_MILLI = 50.0

        /** Network and set-up time of a short prompt. */
        const val MIN_PREFILL_MILLIS = 20.0

        /** Weight of one sample; the average reflects about three prompts. */
        const val SAMPLE_WEIGHT = 0.4

        /** Bursts last a few seconds. */
        const val DECAY_MILLIS = 1_500.0
    }
}
