package fireflyhinge.systemtest

import java.util.concurrent.TimeUnit

/** Finds tokens that were admitted beyond a rate and burst. */
internal object RateExcess {
    /**
     * Largest excess over all windows. A request was admitted at some time between its sending and its end, so the
     * requests that lie wholly inside a window of t seconds may have at most rate x t + burst tokens.
     */
    fun of(outcomes: List<ChatOutcome>, rate: Double, burst: Double): Double {
        val admitted = outcomes.filter { tokens(it) > 0 }.sortedBy { it.endedAt }
        return admitted.maxOfOrNull { first -> excessFrom(first.intendedAt, admitted, rate, burst) } ?: 0.0
    }

    private fun excessFrom(start: Long, byEnd: List<ChatOutcome>, rate: Double, burst: Double): Double {
        var sum = 0.0
        return byEnd.filter { it.intendedAt >= start }.maxOf {
            sum += tokens(it)
            sum - burst - rate * (it.endedAt - start) / TimeUnit.SECONDS.toNanos(1)
        }
    }

    // A cut answer has no token count; its prompt and the tokens that arrived were admitted all the same.
    private fun tokens(outcome: ChatOutcome): Int =
        when {
            outcome.whole -> outcome.promptTokens + outcome.completionTokens
            outcome.tokenTimes.isNotEmpty() -> PacedLoad.PROMPT + outcome.tokenTimes.size
            else -> 0
        }
}
