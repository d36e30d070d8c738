package fireflyhinge.daemon.caller

import fireflyhinge.engine.EngineRequestId
import fireflyhinge.result.Outcome
import fireflyhinge.retry.RetryBudgets
import fireflyhinge.time.millis
import org.slf4j.LoggerFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** The attempts of one charged request. Used by one thread, once. */
internal class ModelRun(
    private val ports: CallerPorts,
    private val limits: PipelineLimits,
    private val budgets: RetryBudgets,
    private val placements: PlacementStep,
    private val progress: AnswerProgress,
    private val tally: CrashTally,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val job = placements.job
    private val caller = placements.caller
    private var expired = 0
    private var avoid = emptySet<String>()
    private var last: AttemptResult.Failed? = null
    private var paced = false

    /**
     * Tries until the request has ended or its attempts are used up. Crashes use up no attempts, because the third one
     * ends the request. Failed KV transfers use up none while there is time: the engines of a pool that has just
     * started may be slower than the limit of a transfer several times in a row.
     */
    fun run(cleanup: EngineCleanup, detector: CrashDetector): ModelResult {
        var number = 0
        while (limits.mayRetry(job, ports.clock.millis(), expired + tally.otherFailures, tally.failedTransfers)) {
            number++
            attempt(number, cleanup, detector)?.let { return it }
        }
        return failed()
    }

    /** The result of the request, or null when it may be placed again. */
    private fun attempt(number: Int, cleanup: EngineCleanup, detector: CrashDetector): ModelResult? {
        if (!mayTry()) return failed()
        val placed =
            when (val reply = placements.place(number, avoid, tally.crashes)) {
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
            AttemptResult.TicketExpired -> null.also { expired++ }
            is AttemptResult.Failed -> retried(result, watch)
        }
    }

    /**
     * Waits for the retry budget after a failure that was no crash. An accepted request is paced rather than ended when
     * the budget is used up, because its answer may have begun.
     */
    private fun mayTry(): Boolean =
        !paced || await(limits.retryWait(job.priority)) { budgets.tryAcquire(job.access.scope, job.route.service) }

    private fun retried(result: AttemptResult.Failed, watch: CrashDetector.Watch): ModelResult? {
        last = result
        avoid = avoid + result.avoid
        val verdict = watch.verdict(job, result)
        tally.failed(verdict, result.transfer)
        val crashed = within(limits.crashProbeMillis, verdict)
        paced = !crashed && !result.failure.ranNothing()
        log.warn(
            "an attempt failed at replica {}: {}, crashes: {}, undecided: {}",
            result.replica,
            result.failure,
            tally.crashes,
            tally.undecided,
        )
        return if (barred()) failed() else null
    }

    private fun within(millis: Long, verdict: CompletableFuture<Boolean>): Boolean =
        try {
            verdict.get(millis, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            false
        }

    /** Waits for verdicts while the replicas whose crash is not decided could be the last ones that are allowed. */
    private fun barred(): Boolean {
        val wait = limits.newPlaceWait(job.priority, crashes = 1)
        await(wait) { !tally.mayBeBarred || tally.undecided == 0 }
        return tally.mayBeBarred
    }

    private fun notPlaced(refusal: Outcome.Failure): ModelResult =
        when {
            caller.departed() -> ModelResult.Departed
            pointless(ports, job, caller) -> ModelResult.Failed(withdrawn(progress))
            progress.ran -> failed()
            else -> ModelResult.Failed(refusal)
        }

    /** Waits for verdicts, so that a repeat of the request is charged with the crashes of this one. */
    private fun failed(): ModelResult {
        await(limits.retryWait(job.priority)) { tally.undecided == 0 }
        return ModelResult.Failed(exhausted(progress, last))
    }

    /** Whether [condition] holds at a time that is at most [millis] after the arrival, with the answer still wanted. */
    private fun await(millis: Long, condition: () -> Boolean): Boolean {
        while (!condition()) {
            if (ports.clock.millis() > job.arrivedMillis + millis || pointless(ports, job, caller)) return false
            Thread.sleep(POLL_MILLIS)
        }
        return true
    }

    private fun answered(reason: String): ModelResult =
        ModelResult.Answered(
            finishReason = reason,
            promptTokens = progress.promptTokens ?: job.digest.tokens,
            cachedTokens = progress.cachedTokens,
            completionTokens = progress.next,
        )

    private companion object {
        const val POLL_MILLIS = 20L
    }
}
