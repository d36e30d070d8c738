package fireflyhinge.forward

/** Estimates the queueing time at one prefill replica. Not thread-safe; times are monotonic milliseconds. */
internal class PrefillLoad {
    private val recent = DecayingSum()
    private val speed = PrefillSpeedEstimate()

    /** Records a prompt of [tokens] sent to the replica. */
    fun sent(tokens: Int, now: Long) = recent.add(tokens, now)

    /** Records a prefill of [tokens] that completed after [elapsedMillis] or timed out then. */
    fun read(tokens: Int, elapsedMillis: Long, now: Long) = speed.record(tokens, elapsedMillis, now)

    /** Tokens sent in about the last second. */
    fun recent(now: Long): Long = recent.value(now).toLong()

    /**
     * Expected queueing time in multiples of the latency objective: the larger of the recently observed wait and an
     * M/D/1 estimate for the prompts of all VMs, plus the time for the [own] tokens in flight. [others] are the tokens
     * that other VMs sent in the last second. [tokensPerMilli] is the replica's measured rate; a slower replica than
     * usual also counts the longer time of a prompt itself.
     */
    fun wait(own: Long, others: Long, now: Long, tokensPerMilli: Double? = null): Double {
        val slowness = if (tokensPerMilli == null) 1.0 else USUAL_TOKENS_PER_MILLI / tokensPerMilli
        val utilization = minOf((recent.value(now) + others) / TOKENS_PER_SECOND * slowness, MAX_UTILIZATION)
        val wait = maxOf(utilization / (1 - utilization) / 2 * slowness, speed.excess(now))
        return (wait + maxOf(0.0, slowness - 1)) * MEAN_PROMPT_OBJECTIVES + own / OBJECTIVE_TOKENS * slowness
    }

    private companion object {
        /** Prefill speed of an engine; [PrefillSpeedEstimate] and [PrefillRates] detect slower ones. */
        const val USUAL_TOKENS_PER_MILLI = 50.0
        const val TOKENS_PER_SECOND = 50_000.0

        /** Tokens that are read within one latency objective of 0.9 s. */
        const val OBJECTIVE_TOKENS = 45_000.0

        /** Prefill time of a mean prompt of 5,000 tokens, in latency objectives. */
        const val MEAN_PROMPT_OBJECTIVES = 0.11

        /** Keeps the estimated wait finite; at this utilization it is about one objective. */
        const val MAX_UTILIZATION = 0.95
    }
}
