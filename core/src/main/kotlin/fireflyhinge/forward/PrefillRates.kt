package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import kotlin.math.exp

/**
 * Prefill rates of replicas by id, measured by all VMs: one VM alone sends a replica a prompt every half minute.
 * A queue at the replica only lowers a measured rate, so the highest recent one is closest to the replica's own speed.
 * Merging is idempotent and independent of the order of messages. Thread-safe.
 *
 * @param enabled whether the rates are used.
 */
class PrefillRates(
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val enabled: () -> Boolean = { true },
) {
    private class Sample(val tokensPerMilli: Double, val atMillis: Long)

    private val samples = LinkedHashMap<String, Sample>()

    /** Records that replica [id] prefilled a prompt of [tokens] in [elapsedMillis]. */
    @Synchronized
    fun record(id: String, tokens: Int, elapsedMillis: Long) {
        // The time of a short prompt is mostly that of the network.
        if (tokens >= MIN_TOKENS) add(id, tokens.toDouble() / maxOf(1, elapsedMillis), clock.millis())
    }

    /** Merges the [rates] of another VM. Implausible ones are ignored. */
    @Synchronized
    fun merge(rates: Map<String, PrefillRate>) {
        val now = clock.millis()
        rates.filterValues { it.ageMillis in 0..MAX_AGE_MILLIS }
            .forEach { (id, rate) -> add(id, rate.tokensPerMilli, now - rate.ageMillis) }
    }

    private fun add(id: String, tokensPerMilli: Double, at: Long) {
        // A prompt that the replica has cached is read faster than any replica prefills.
        if (!(tokensPerMilli > 0 && tokensPerMilli <= MAX_TOKENS_PER_MILLI)) return
        val now = clock.millis()
        val known = samples[id]?.let { weighted(it.tokensPerMilli, now - it.atMillis) } ?: 0.0
        if (weighted(tokensPerMilli, now - at) > known) samples[id] = Sample(tokensPerMilli, at)
    }

    /** Recent rates, for other VMs. */
    @Synchronized
    fun report(): Map<String, PrefillRate> {
        if (!enabled()) return emptyMap()
        val now = clock.millis()
        samples.values.removeIf { now - it.atMillis > MAX_AGE_MILLIS }
        return samples.mapValues { PrefillRate(it.value.tokensPerMilli, now - it.value.atMillis) }
    }

    /** Rate of replica [id] in tokens per millisecond; null if there is no recent measurement. */
    @Synchronized
    fun tokensPerMilli(id: String): Double? =
        samples[id]?.takeIf { enabled() && clock.millis() - it.atMillis <= MAX_AGE_MILLIS }?.tokensPerMilli

    private fun weighted(rate: Double, ageMillis: Long): Double = rate * exp(-ageMillis / DECAY_MILLIS)

    private companion object {
        const val MIN_TOKENS = 2_000

        /** Four times the rate of the fastest engines in use. */
        const val MAX_TOKENS_PER_MILLI = 400.0

        /** A faster measurement yields to newer ones after this time, so that a replica that turns slow is noticed. */
        const val DECAY_MILLIS = 10_000.0
        const val MAX_AGE_MILLIS = 30_000L
    }
}
