package fireflyhinge.daemon.caller

import fireflyhinge.config.Priority

/**
 * Deadlines of a model request, in milliseconds.
 *
 * @property attempts placements tried for an interactive request.
 * @property batchAttempts placements tried for a batch request, which may wait but must not be lost. Crashes are
 * bounded more tightly, by crash attribution.
 * @property transferAttempts placements tried for an interactive request while KV transfers fail: as many as time out
 * one after another within [interactiveRetryMillis]. Each costs a prefill and is paced by the retry budget.
 * @property firstTokenMillis target for the first token; an interactive request that cannot meet it is served late.
 * @property lateMillis time after the arrival at which an interactive request without a placement is refused.
 * @property chargeMillis longest wait of an interactive request for its tokens.
 * @property batchMillis longest wait of a batch request for its tokens, and again for its placement.
 * @property prefillMillis deadline of an empty prefill.
 * @property prefillTokenMillis addition to [prefillMillis] for each prompt token.
 * @property importMillis deadline of the KV transfer; the prefill replica keeps its result for less than a second.
 * @property leavingMillis age of a placement from which a decode replica that leaves gets the request no more. With up
 * to 1 s until the cell owner knows that it leaves, it gets no work later than the 3 s of promise P9.
 * @property progressMillis longest silence of a decode stream.
 * @property crashProbeMillis longest wait for the verdict whether a broken replica crashed, unless it may be the third
 * crash, and time after which an undecided replica is probed again.
 * @property interactiveRetryMillis time for which a failed interactive request waits for the retry budget.
 * @property suspectMillis longest wait of an interactive request for a new placement after a crash. Four requests of a
 * crashed batch of 20 run at a time on the last replica, so the others wait for up to four rounds of answers.
 */
data class PipelineLimits(
    val attempts: Int = 3,
    val batchAttempts: Int = 20,
    val transferAttempts: Int = 12,
    val firstTokenMillis: Long = 1300,
    val lateMillis: Long = 10_000,
    val chargeMillis: Long = 1000,
    val batchMillis: Long = 600_000,
    val prefillMillis: Long = 3000,
    val prefillTokenMillis: Double = 1.0,
    val importMillis: Long = 800,
    val leavingMillis: Long = 2000,
    val progressMillis: Long = 2000,
    val crashProbeMillis: Long = 500,
    val interactiveRetryMillis: Long = 10_000,
    val suspectMillis: Long = 60_000,
) {
    /** Placements tried for one request. */
    fun attempts(priority: Priority): Int = if (priority == Priority.BATCH) batchAttempts else attempts

    /** Whether [job] may be tried again after [failures], of which [transfers] were failed KV transfers. */
    fun mayRetry(job: ModelJob, nowMillis: Long, failures: Int, transfers: Int): Boolean {
        val allowed = attempts(job.priority)
        val inTime = nowMillis <= job.arrivedMillis + retryWait(job.priority)
        val repeatable = inTime && failures - transfers < allowed && failures < maxOf(allowed, transferAttempts)
        return failures < allowed || repeatable
    }

    /** Longest wait for a charge. */
    fun chargeWait(priority: Priority): Long = if (priority == Priority.BATCH) batchMillis else chargeMillis

    /** Time after the arrival for which a failed request waits for the retry budget. */
    fun retryWait(priority: Priority): Long = if (priority == Priority.BATCH) batchMillis else interactiveRetryMillis

    /** Longest wait for a new placement of a request that took part in [crashes]. */
    fun newPlaceWait(priority: Priority, crashes: Int): Long =
        if (crashes > 0) maxOf(suspectMillis, retryWait(priority)) else retryWait(priority)

    /** Longest wait for a placement, [elapsed] milliseconds after the request came. */
    fun placeWait(priority: Priority, elapsed: Long): Long =
        if (priority == Priority.BATCH) batchMillis else maxOf(MIN_PLACE_MILLIS, lateMillis - ANSWER_MILLIS - elapsed)

    /** Deadline of a prefill of [tokens]. */
    fun prefillWait(tokens: Int): Long = prefillMillis + (tokens * prefillTokenMillis).toLong()

    private companion object {
        const val MIN_PLACE_MILLIS = 100L

        /** Time for the owner's refusal to reach the caller. */
        const val ANSWER_MILLIS = 200L
    }
}
