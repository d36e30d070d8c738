package fireflyhinge.forward

/** What prompts have to wait for at one prefill replica. Not thread-safe; times are monotonic milliseconds. */
internal class PrefillLoad {
    private val recent = DecayingSum()
    private val pace = PrefillSpeedEstimate()

    /** A prompt of [tokens] is sent to the replica. */
    fun sent(tokens: Int, now: Long) = recent.add(tokens, now)

    /** A prompt of [tokens] was read within [elapsedMillis], or was not read within that time. */
    fun read(tokens: Int, elapsedMillis: Long, now: Long) = pace.observed(tokens, elapsedMillis, now)

    /** Tokens that were sent in about the last second. */
    fun recent(now: Long): Long = recent.value(now).toLong()

    /**
     * Expected queueing time in objectives: what was seen lately, or what the prompts of all VMs cause at an engine of
     * known speed (M/D/1), and what this VM has there now. [others] are tokens that other VMs sent in the last second.
     */
    fun wait(own: Long, others: Long, now: Long): Double {
        val busy = minOf((recent.value(now) + others) / TOKENS_PER_SECOND, MOST_BUSY)
        val wait = maxOf(busy / (1 - busy) / 2, pace.excess(now))
        return wait * MEAN_PROMPT + own / OBJECTIVE_TOKENS
    }

    private companion object {
        /** Engines read some 50 tokens a millisecond; slower ones show by their pace. */
        const val TOKENS_PER_SECOND = 50_000.0

        /** Tokens that take one objective of 0.9 s to read. */
        const val OBJECTIVE_TOKENS = 45_000.0

        /** Time of a mean prompt of 5,000 tokens, in objectives. */
        const val MEAN_PROMPT = 0.11

        /** Keeps the expected wait finite; at this load it is one objective. */
        const val MOST_BUSY = 0.95
    }
}
