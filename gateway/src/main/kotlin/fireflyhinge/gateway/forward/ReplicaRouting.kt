package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaSelector
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.RetryBudgetShares
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
) {
    /**
     * Returns the refusal [failure] with a Retry-After that follows from the pauses that the replicas of [service] at
     * one of [stages] asked for, if they are why none accepts requests. Returns [failure] otherwise, and if the request
     * may have run.
     */
    fun withKnownRetryAfter(failure: Outcome.Failure, service: String, stages: List<ReplicaStage>): Outcome.Failure {
        if (failure.code.run != ExecutionStatus.NOT_RUN) return failure
        val backoff = stages.mapNotNull { table.backoffMillis(service, it) }.maxOrNull() ?: return failure
        // Spreads the callers' retries.
        val millis = backoff + Random.nextLong(backoff / SPREAD_DIVISOR + 1)
        return Outcome.Failure(ResultCode.CAPACITY_EXHAUSTED, failure.detail, millis)
    }

    private companion object {
        const val SPREAD_DIVISOR = 5
    }
}
