package fireflyhinge.gateway.forward

import fireflyhinge.forward.PrefillTimeout
import fireflyhinge.forward.ReplicaFilter
import fireflyhinge.forward.ReplicaSelector
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.RetryBudgetShares
import fireflyhinge.forward.allEvacuated
import fireflyhinge.result.ExecutionStatus
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import kotlin.random.Random

/** Replica table, replica selection, retry budget and the budget of cold replicas. */
internal class ReplicaRouting(
    val table: ReplicaTable,
    val selector: ReplicaSelector,
    val retries: RetryBudgetShares,
    val cold: ColdSends,
    private val largeFleet: () -> Boolean = { false },
) {
    /** Milliseconds for a prefill that may be retried, if [objectiveMillis] are left of the request's objective. */
    fun prefillRetryMillis(objectiveMillis: Long): Long =
        if (largeFleet()) PrefillTimeout.retryableMillis(objectiveMillis) else PrefillTimeout.RETRY_MILLIS

    /** Restricts the replicas that may serve the request of [context]. */
    fun filter(context: RequestContext): ReplicaFilter {
        val regions = selector.within(context.admission.homeRegions)
        val origin = context.origin ?: return regions
        return ReplicaFilter { state ->
            regions.allows(state) && (state.replica.stage != ReplicaStage.DECODE || origin.includes(state.replica))
        }
    }

    /**
     * Returns the refusal [failure] with a Retry-After that follows from the pauses that the replicas for [context] at
     * one of [stages] asked for, if they are why none accepts requests. Returns [failure] otherwise, and if the request
     * may have run. The first of [stages] is the one without which the service cannot run requests.
     */
    fun withKnownRetryAfter(
        failure: Outcome.Failure,
        context: RequestContext,
        stages: List<ReplicaStage>,
    ): Outcome.Failure {
        if (failure.code.run != ExecutionStatus.NOT_RUN) return failure
        evacuationRefusal(context, stages.first())?.let { return it }
        val filter = filter(context)
        val backoffs = stages.mapNotNull { table.backoffMillis(context.service, it, filter) }
        val backoff = backoffs.maxOrNull() ?: return failure
        // Spreads the callers' retries.
        val millis = backoff + Random.nextLong(backoff / SPREAD_DIVISOR + 1)
        return Outcome.Failure(ResultCode.CAPACITY_EXHAUSTED, failure.detail, millis)
    }

    /**
     * Returns the refusal of the request of [context] if all replicas for it at [stage] are in evacuated failure
     * domains; null otherwise. An evacuation lasts for seconds or longer, and the random delay spreads the callers'
     * retries.
     */
    fun evacuationRefusal(context: RequestContext, stage: ReplicaStage): Outcome.Failure? {
        if (!table.allEvacuated(context.service, stage, filter(context))) return null
        val millis = Random.nextLong(EVACUATION_RETRY_AFTER_MILLIS, 2 * EVACUATION_RETRY_AFTER_MILLIS)
        return Outcome.Failure(ResultCode.NO_UPSTREAM, "All replicas are in evacuated failure domains.", millis)
    }

    private companion object {
        const val SPREAD_DIVISOR = 5

        /** Minimum Retry-After while all replicas are evacuated; callers retry a refused request once. */
        const val EVACUATION_RETRY_AFTER_MILLIS = 1_000L
    }
}
