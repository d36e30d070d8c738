package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.ResponseWriter
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode

/** Records the outcomes of one request's runs at decode replicas and tells what they mean for the request. */
internal class DecodeAccounting(
    private val context: RequestContext,
    private val attempts: DecodeAttempts,
    private val response: ResponseWriter,
) {
    /**
     * Records the [outcome] of a run at [state]'s replica.
     *
     * @param withCache whether the run was to fetch a KV cache.
     * @param mayRetry whether another run is permitted.
     */
    fun settle(
        state: ReplicaState,
        outcome: DecodeOutcome,
        withCache: Boolean = false,
        mayRetry: Boolean = true,
    ): DecodeStepResult {
        context.attemptLog += "decode ${state.replica.id} $outcome"
        if (outcome !is DecodeOutcome.NotSent) attempts.arrived = true
        return when (outcome) {
            is DecodeOutcome.Completed -> {
                state.recordResponse(success = true)
                DecodeStepResult.Finished(ForwardResult.Streamed)
            }
            is DecodeOutcome.OtherResponse -> otherResponse(state, outcome, mayRetry)
            is DecodeOutcome.NotRun -> notRun(state, outcome, withCache)
            is DecodeOutcome.NotSent -> {
                context.recordNotRun()
                attempts.undelivered++
                if (!outcome.noBudget) state.recordNoResponse()
                attempts.lastFailure =
                    if (outcome.noBudget) {
                        ColdSends.refusal()
                    } else {
                        Outcome.Failure(ResultCode.NO_UPSTREAM, outcome.reason, NO_REPLICA_RETRY_AFTER_MILLIS)
                    }
                DecodeStepResult.NotRun
            }
            is DecodeOutcome.Abandoned -> {
                attempts.sends++
                DecodeStepResult.MayHaveRun
            }
            is DecodeOutcome.Interrupted -> {
                attempts.sends++
                state.recordNoResponse()
                attempts.lastFailure = Outcome.Failure(ResultCode.ATTEMPTS_FAILED, outcome.reason)
                DecodeStepResult.MayHaveRun
            }
        }
    }

    /** Returns why the request may not be sent to [state]'s replica now; null if it may. */
    fun obstacle(state: ReplicaState): String? =
        when {
            context.barred -> "such requests crash replicas"
            context.origin?.includes(state.replica) == false -> "another version began the stream"
            state.evacuated -> "its failure domain is evacuated"
            state.availability.backoffMillis > 0 -> "it asked for a pause"
            else -> null
        }

    private fun notRun(state: ReplicaState, outcome: DecodeOutcome.NotRun, withCache: Boolean): DecodeStepResult {
        context.recordNotRun()
        attempts.lastFailure = DecodeAttempts.capacityExhausted()
        if (outcome.otherReplica) {
            attempts.undelivered++
            state.recordNoResponse()
            return DecodeStepResult.NotRun
        }
        attempts.sends++
        // The response does not distinguish an expired KV cache from a full replica.
        if (withCache) return DecodeStepResult.CacheUnavailable
        state.full = true
        return DecodeStepResult.NotRun
    }

    private fun otherResponse(
        state: ReplicaState,
        outcome: DecodeOutcome.OtherResponse,
        mayRetry: Boolean,
    ): DecodeStepResult {
        attempts.sends++
        val good = outcome.response.status < SERVER_ERROR
        state.recordResponse(good)
        // Once the caller has events, only further events may follow.
        if (!response.started && (good || !mayRetry)) return DecodeStepResult.Finished(outcome.response)
        attempts.lastFailure = Outcome.Failure(ResultCode.UPSTREAM_FAILED, outcome.toString())
        return DecodeStepResult.MayHaveRun
    }

    private companion object {
        const val SERVER_ERROR = 500

        /** Retry-After when no replica is reachable: until a failed replica is tried again. */
        const val NO_REPLICA_RETRY_AFTER_MILLIS = 500L
    }
}
