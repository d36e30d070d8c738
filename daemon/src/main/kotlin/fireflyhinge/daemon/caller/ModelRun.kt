package fireflyhinge.daemon.caller

import fireflyhinge.engine.EngineRequestId
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
    private var alone = false
    private var avoid = emptySet<String>()
    private var last: AttemptResult.Failed? = null

    /** Tries until the request has ended or its attempts are used up. A [suspect] runs alone on its replicas. */
    fun run(cleanup: EngineCleanup, crashes: CrashDetector, suspect: Boolean): ModelResult {
        alone = suspect
        for (number in 1..limits.attempts(job.priority)) {
            attempt(number, cleanup, crashes)?.let { return it }
        }
        return failed()
    }

    /** The result of the request, or null when it may be placed again. */
    private fun attempt(number: Int, cleanup: EngineCleanup, crashes: CrashDetector): ModelResult? {
        if (!mayTry()) return failed()
        val placed =
            when (val reply = placements.place(number, avoid, alone)) {
                is Outcome.Failure -> return notPlaced(reply)
                is Outcome.Success -> reply.value
            }
        val watch = crashes.watch(placed)
        val id = EngineRequestId(job.requestId, number)
        val context = AttemptContext(ports, limits, job, caller, progress, placed, id)
        return when (val result = ModelAttempt(context).run(cleanup)) {
            is AttemptResult.Done -> answered(result.finishReason)
            AttemptResult.Departed -> ModelResult.Departed
            AttemptResult.KeyWithdrawn -> ModelResult.Failed(withdrawn(progress))
            AttemptResult.TicketExpired -> null
            is AttemptResult.Failed -> retried(result, watch)
        }
    }

    /**
     * Waits for the retry budget. An accepted request is paced rather than ended when the budget is used up, because
     * its answer may have begun.
     */
    private fun mayTry(): Boolean {
        val failure = last?.failure ?: return true
        if (failure.ranNothing()) return true
        val deadline = job.arrivedMillis + limits.retryWait(job.priority)
        while (!budgets.tryRetry(job.access.scope, job.route.service)) {
            if (ports.clock.millis() > deadline || pointless(ports, job, caller)) return false
            Thread.sleep(BUDGET_POLL_MILLIS)
        }
        return true
    }

    private fun retried(result: AttemptResult.Failed, watch: CrashDetector.Watch): ModelResult? {
        last = result
        avoid = avoid + result.replica
        log.warn("an attempt failed at replica {}: {}", result.replica, result.failure)
        if (!watch.crashed(job, result, alone)) return null
        // A second crash as the only suspect bars the fingerprint, so no further replica is risked.
        if (alone) return failed()
        alone = true
        return null
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
