package fireflyhinge.schedule

import fireflyhinge.engine.EngineRequestId
import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest

/**
 * A request's hold on a decode slot.
 *
 * @property importAt time at which the prefill is expected to end and the decode to begin.
 * @property believedCached prompt tokens that were believed to be cached at the placement.
 */
internal class Ticket(
    val request: PlaceRequest,
    val placed: PlaceReply.Placed,
    val importAt: Long,
    val believedCached: Int = 0,
) {
    val id: String get() = placed.ticket

    val engineId = EngineRequestId(request = request.requestId, attempt = request.attempt)

    val prefillTokens: Int get() = maxOf(0, request.promptTokens - believedCached)

    /** Owner's time at which the ticket lapses unless renewed. */
    var expiresAt = Long.MAX_VALUE

    /** Whether the holder has reported the end of the prefill. */
    var prefillDone = false
        private set

    private var firstTokens = -1
    private var tokens = 0
    private var tokensAt = importAt

    /** Records that the prefill has ended before [now]. */
    fun prefillEnded(now: Long) {
        prefillDone = true
        tokensAt = now
    }

    /** Takes a progress report and returns the time per token since the previous one, or null if it shows none. */
    fun progress(generated: Int, now: Long): Double? {
        // A resumed answer reports the tokens of earlier attempts too; they are no work of this slot.
        if (firstTokens < 0) firstTokens = if (request.attempt > 1) generated else 0
        val fresh = generated - firstTokens
        if (fresh <= tokens) return null
        val sample = if (tokens > 0) (now - tokensAt).toDouble() / (fresh - tokens) else null
        tokens = fresh
        tokensAt = now
        return sample
    }

    /** Latest time at which the decode ends, at [stepMillis] per token. */
    fun decodeEnd(stepMillis: Double, marginMillis: Long, now: Long): Long {
        val remaining = maxOf(0, request.maxOutputTokens - tokens) * stepMillis * STEP_MARGIN
        // A prefill that was not reported as done may be late, whatever was expected of it.
        val since = if (prefillDone) tokensAt else maxOf(tokensAt, now)
        return maxOf(since + remaining.toLong(), now) + marginMillis
    }

    private companion object {
        /** Steps get slower as slots fill, so remaining steps are taken to be this much longer than observed. */
        const val STEP_MARGIN = 1.15
    }
}
