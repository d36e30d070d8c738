package fireflyhinge.daemon.caller

import fireflyhinge.engine.EngineRequestId
import fireflyhinge.quota.CrashLevel
import fireflyhinge.result.Outcome
import fireflyhinge.retry.RetryBudgets
import fireflyhinge.time.millis
import org.slf4j.LoggerFactory

/** The attempts of one charged request. Used by one thread, once. */
internal class ModelRun(
    private val ports: CallerPorts,
    private val limits: PipelineLimits,
    private val budgets: RetryBudgets,
    private val placements: PlacementStep,
    private val progress: AnswerProgress,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val job = placements.job
    private val caller = placements.caller
    private var crashes = 0
    private var attempts = 0
    private var avoid = emptySet<String>()
    private var last: AttemptResult.Failed? = null
    private var paced = false

    /**
     * Tries until the request has ended or its attempts are used up. [earlierCrashes] are those that its fingerprint
     * took part in before. Crashes use up no attempts, because the third one ends the request.
     */
    fun run(cleanup: EngineCleanup, detector: CrashDetector, earlierCrashes: Int): ModelResult {
        crashes = earlierCrashes
        var number = 0
        while (attempts < limits.attempts(job.priority)) {
            number++
            attempt(number, cleanup, detector)?.let { return it }
        }
        return failed()
    }

    /** The result of the request, or null when it may be placed again. */
    private fun attempt(number: Int, cleanup: EngineCleanup, detector: CrashDetector): ModelResult? {
        if (!mayTry()) return failed()
        val placed =
            when (val reply = placements.place(number, avoid, crashes)) {
                is Outcome.Failure -> return notPlaced(reply)
                is Outcome.Success -> reply.value
            }
        val watch = detector.watch(placed)
        val id = EngineRequestId(job.requestId, number)
        val context = AttemptContext(ports, limits, job, caller, progress, placed, id, avoid)
        return when (val result = ModelAttempt(context).run(cleanup)) {
            is AttemptResult.Done -> answered(result.finishReason)
            AttemptResult.Departed -> ModelResult.Departed
            AttemptResult.KeyWithdrawn -> ModelResult.Failed(withdrawn(progress))
            // Most of the prompt is then cached at the prefill replica. Each replica is left out once, so this ends.
            is AttemptResult.Leaving -> null.also { avoid = avoid + result.replica }
            AttemptResult.TicketExpired -> null.also { attempts++ }
            is AttemptResult.Failed -> retried(result, watch)
        }
    }

    /**
     * Waits for the retry budget after a failure that was no crash. An accepted request is paced rather than ended when
     * the budget is used up, because its answer may have begun.
     */
    private fun mayTry(): Boolean {
        if (!paced) return true
        val deadline = job.arrivedMillis + limits.retryWait(job.priority)
        while (!budgets.tryRetry(job.access.scope, job.route.service)) {
            if (ports.clock.millis() > deadline || pointless(ports, job, caller)) return false
            Thread.sleep(BUDGET_POLL_MILLIS)
        }
        return true
    }

    private fun retried(result: AttemptResult.Failed, watch: CrashDetector.Watch): ModelResult? {
        last = result
        avoid = avoid + result.avoid
        val crashed = watch.crashed(job, result)
        if (crashed) crashes++ else attempts++
        paced = !crashed && !result.failure.ranNothing()
        log.warn("an attempt failed at replica {}: {}, crashes: {}", result.replica, result.failure, crashes)
        return if (CrashLevel.of(crashes) == CrashLevel.BARRED) failed() else null
    }

    private fun notPlaced(refusal: Outcome.Failure): ModelResult =
        when {
            caller.departed() -> ModelResult.Departed
            pointless(ports, job, caller) -> ModelResult.Failed(withdrawn(progress))
            progress.ran -> failed()
            else -> ModelResult.Failed(refusal)
        }

    private fun failed(): ModelResult = ModelResult.Failed(exhausted(progress, last))

    private fun answered(reason: String): ModelResult =
        ModelResult.Answered(
            finishReason = reason,
            promptTokens = progress.promptTokens ?: job.digest.tokens,
            cachedTokens = progress.cachedTokens,
            completionTokens = progress.next,
        )

    private companion object {
        const val BUDGET_POLL_MILLIS = 20L
    }
}
