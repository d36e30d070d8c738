package fireflyhinge.forward

/** Averages over the model requests of one service that this VM saw end. Thread-safe. */
class RequestMix {
    private var promptTokens = 0.0
    private var memoryTokens = 0.0
    private var decodeMillis = 0.0
    private var count = 0

    /** Averages of the newest requests, or null before [LEAST_REQUESTS] have ended. */
    val averages: RequestAverages?
        @Synchronized get() =
            if (count < LEAST_REQUESTS) null else RequestAverages(promptTokens, memoryTokens, decodeMillis)

    /** A request ended whole: it declared [facts], and its answer took [decodeMillis]. */
    @Synchronized
    fun ended(facts: RequestFacts, decodeMillis: Long) {
        count++
        val weight = maxOf(1.0 / count, LEAST_WEIGHT)
        promptTokens += ((facts.promptTokens ?: 0) - promptTokens) * weight
        memoryTokens += (facts.expectedMemory - memoryTokens) * weight
        this.decodeMillis += (decodeMillis - this.decodeMillis) * weight
    }

    private companion object {
        /** Requests whose average is within a fifth of the mean in most cases, with sizes that vary by half. */
        const val LEAST_REQUESTS = 6

        /** Some thirty requests decide later on. */
        const val LEAST_WEIGHT = 0.03
    }
}
