package fireflyhinge.gateway.forward

import fireflyhinge.forward.ColdReplicas
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.monotonicMillis
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Sends to cold replicas: waits for their budget, takes it, and counts what became of it. */
internal class ColdSends(val replicas: ColdReplicas, registry: PrometheusRegistry) {
    private val sends =
        Counter
            .builder()
            .name("fireflyhinge_cold_sends_total")
            .help("Requests that this VM sent to cold replicas.")
            .labelNames("service")
            .register(registry)
    private val withheld =
        Counter
            .builder()
            .name("fireflyhinge_cold_withheld_total")
            .help("Sends to cold replicas that had been chosen and for which there was no budget any more.")
            .labelNames("service")
            .register(registry)
    private val refusals =
        Counter
            .builder()
            .name("fireflyhinge_cold_refusals_total")
            .help("Times at which a request found only cold replicas without budget until its wait was over.")
            .labelNames("service")
            .register(registry)

    /**
     * Takes the budget for one send to [state]'s replica; to be called immediately before it. Throws
     * [ColdBudgetException] if there is none within [MAX_SEND_WAIT_MILLIS]. [claimed] is true after [claimed].
     */
    suspend fun acquire(state: ReplicaState, claimed: Boolean) {
        val service = state.replica.service
        val until = monotonicMillis() + MAX_SEND_WAIT_MILLIS
        var holdsClaim = claimed
        while (true) {
            val cold = replicas.isCold(state)
            if (replicas.tryAcquire(state, holdsClaim)) {
                if (cold) sends.labelValues(service).inc()
                return
            }
            holdsClaim = false
            val wait = replicas.waitMillis(state)
            if (wait == null || monotonicMillis() + wait > until) {
                withheld.labelValues(service).inc()
                throw ColdBudgetException(state.replica.id)
            }
            delay(maxOf(1, wait))
        }
    }

    /**
     * Returns the target that [reserve] finds for a run that follows a prefill, with the budget claimed if its replica
     * is cold. If another request has taken the budget meanwhile, the target is [release]d, and another one is reserved
     * until [untilMillis], a monotonic time.
     */
    suspend fun claimed(
        untilMillis: Long,
        release: (DecodeTarget) -> Unit,
        reserve: suspend () -> DecodeTarget?,
    ): DecodeTarget? {
        while (true) {
            val target = reserve()
            if (target == null || replicas.claim(target.state)) return target
            release(target)
            if (monotonicMillis() + CLAIM_RETRY_MILLIS > untilMillis) return null
            delay(CLAIM_RETRY_MILLIS)
        }
    }

    /**
     * Waits until this VM may send to a replica of [context]'s service at [stage] that is cold, is not in [avoid] and
     * is [reachable], but not longer than the request can wait within its target. Returns whether it may then.
     */
    suspend fun await(
        context: RequestContext,
        stage: ReplicaStage,
        avoid: Set<String>,
        reachable: (ReplicaState) -> Boolean = { true },
    ): Boolean {
        val wait = replicas.waitMillis(context.service, stage, avoid, reachable) ?: return false
        val left = context.request.arrivedMillis + context.admission.route.objectiveMillis * WAIT_PERCENT / PERCENT -
            monotonicMillis()
        if (wait > minOf(left, context.remainingMillis)) return false
        delay(maxOf(1, wait))
        return true
    }

    /**
     * Whether [context]'s service has cold replicas at [stage], not in [avoid] and [reachable], without budget. If so,
     * this is why the request is not sent.
     */
    fun blocks(
        context: RequestContext,
        stage: ReplicaStage,
        avoid: Set<String>,
        reachable: (ReplicaState) -> Boolean = { true },
    ): Boolean {
        if (replicas.waitMillis(context.service, stage, avoid, reachable) == null) return false
        refusals.labelValues(context.service).inc()
        context.attemptLog += "only cold replicas without budget are left"
        return true
    }

    companion object {
        /** Short beside a target; the budget of a few VMs comes back within this time. */
        private const val MAX_SEND_WAIT_MILLIS = 100L

        /** Pause before another slot is reserved; budgets come back several times a second. */
        private const val CLAIM_RETRY_MILLIS = 50L

        /** Part of the latency objective that a request waits; the rest is enough for an ordinary response. */
        private const val WAIT_PERCENT = 60
        private const val PERCENT = 100

        /** Another VM may have budget at once; the random part spreads the callers' retries. */
        private const val MIN_RETRY_AFTER_MILLIS = 500L

        /** The failure of a request for which only cold replicas without budget are left. */
        fun refusal() =
            Outcome.Failure(
                ResultCode.CAPACITY_EXHAUSTED,
                retryAfterMillis = Random.nextLong(MIN_RETRY_AFTER_MILLIS, 2 * MIN_RETRY_AFTER_MILLIS),
            )
    }
}
