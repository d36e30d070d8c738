package fireflyhinge.daemon.caller

import fireflyhinge.daemon.trace.Tracing
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.quota.Charge
import fireflyhinge.result.Outcome
import fireflyhinge.retry.RetryBudgets
import java.util.concurrent.Executor

/**
 * Takes a model request through charge, placement, prefill, import and decode. [executor] runs cancels, probes and
 * load reads; each may block for as long as a call to an engine.
 */
class ModelPipeline(
    private val ports: CallerPorts,
    private val limits: PipelineLimits = PipelineLimits(),
    private val budgets: RetryBudgets = RetryBudgets(),
    executor: Executor,
) {
    private val cleanup = EngineCleanup(ports.engines, ports.placement, executor)
    private val crashes = CrashDetector(ports, limits, executor)

    /** Blocks until the answer was handed to [sink], has failed, or [caller] has left. */
    fun run(job: ModelJob, caller: CallerLink, sink: AnswerSink): ModelResult =
        when (val charged = charge(job, caller)) {
            is Outcome.Failure -> if (caller.departed()) ModelResult.Departed else ModelResult.Failed(charged)
            is Outcome.Success -> charged(job, caller, sink, charged.value)
        }

    private fun charge(job: ModelJob, caller: CallerLink): Outcome<Charge?> {
        val workspace = job.access.workspace ?: return Outcome.Success(null)
        val request =
            ChargeRequest(
                chargeId = job.requestId,
                workspace = workspace.name,
                tokens = (job.digest.tokens + job.chat.maxTokens).toDouble(),
                fingerprint = job.digest.fingerprint,
                priority = job.priority,
                maxWaitMillis = limits.chargeWait(job.priority),
            )
        return Tracing.hop("charge") { ports.quota.charge(request) { pointless(ports, job, caller) } }
    }

    private fun charged(job: ModelJob, caller: CallerLink, sink: AnswerSink, charge: Charge?): ModelResult {
        val progress = AnswerProgress(sink)
        return try {
            budgets.recordRequest(job.access.scope, job.route.service)
            val planner = PlacementStep(ports, limits, job, caller)
            val tally = CrashTally(earlier = charge?.crashes ?: 0)
            ModelRun(ports, limits, budgets, planner, progress, tally).run(cleanup, crashes)
        } finally {
            charge?.let { ports.quota.settle(it, unused(it, job, progress)) }
        }
    }

    private fun unused(charge: Charge, job: ModelJob, progress: AnswerProgress): Double {
        val used = if (progress.ran) job.digest.tokens + progress.next else 0
        return maxOf(0.0, charge.tokens - used)
    }
}

/** Whether nobody may get the answer of [job] any more. */
internal fun pointless(ports: CallerPorts, job: ModelJob, caller: CallerLink): Boolean =
    caller.departed() || !job.access.stillGranted(ports.config.current())
