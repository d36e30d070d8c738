package fireflyhinge.schedule

import fireflyhinge.engine.EngineRequestId
import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest

/**
 * Reservation of a decode slot for a request.
 *
 * @property decodeStartAt expected start of the decode, after the prefill and the KV cache transfer.
 * @property estimatedCachedTokens prompt tokens that were estimated to be cached at the time of the placement.
 */
internal class Ticket(
    val request: PlaceRequest,
    val placed: PlaceReply.Placed,
    val decodeStartAt: Long,
    val estimatedCachedTokens: Int = 0,
) {
    val id: String get() = placed.ticket

    val engineId = EngineRequestId(request = request.requestId, attempt = request.attempt)

    val prefillTokens: Int get() = maxOf(0, request.promptTokens - estimatedCachedTokens)

    /** Time, on the owner's clock, at which the ticket expires unless it is renewed. */
    var expiresAt = Long.MAX_VALUE

    /** Whether the holder has reported that the prefill is done. */
    var prefillDone = false
        private set

    private var resumedTokens = -1
    private var tokens = 0
    private var tokensUpdatedAt = decodeStartAt

    /** Records that the prefill was done by [now]. */
    fun markPrefillDone(now: Long) {
        prefillDone = true
        tokensUpdatedAt = now
    }

    /** Records progress; returns the milliseconds per token since the last report, or null if that is unknown. */
    fun recordProgress(generated: Int, now: Long): Double? {
        // The report of a resumed response includes the tokens of earlier attempts, which this slot did not generate.
        if (resumedTokens < 0) resumedTokens = if (request.attempt > 1) generated else 0
        val current = generated - resumedTokens
        if (current <= tokens) return null
        val sample = if (tokens > 0) (now - tokensUpdatedAt).toDouble() / (current - tokens) else null
        tokens = current
        tokensUpdatedAt = now
        return sample
    }

    /** Upper bound of the time at which the decode ends, at [stepMillis] per token. */
    fun decodeEnd(stepMillis: Double, marginMillis: Long, now: Long): Long {
        val remaining = maxOf(0, request.maxOutputTokens - tokens) * stepMillis * STEP_SLOWDOWN_FACTOR
        // A prefill that is not reported as done may end later than expected.
        val since = if (prefillDone) tokensUpdatedAt else maxOf(tokensUpdatedAt, now)
        return maxOf(since + remaining.toLong(), now) + marginMillis
    }

    private companion object {
        /** Decode steps slow down as slots fill up, so the remaining steps are assumed to take this much longer. */
        const val STEP_SLOWDOWN_FACTOR = 1.15
    }
}
