package fireflyhinge.gateway.forward

import fireflyhinge.result.ExecutionStatus
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode

/** Maps failures to codes that tell the caller correctly whether the request may have run. */
internal object FailureMapper {
    /** Returns [failure] as the caller of [context] gets it. After the deadline it is always a time-out. */
    fun forCaller(failure: Outcome.Failure, context: RequestContext): Outcome.Failure =
        when {
            context.remainingMillis <= 0 -> timedOut(context)
            failure.code.run == ExecutionStatus.NOT_RUN && context.mayHaveRun ->
                Outcome.Failure(ResultCode.ATTEMPTS_FAILED, failure.detail)
            else -> failure
        }

    /**
     * Whether the status of [response] would tell the caller of [context] that the request did not run, although the
     * replica did not state that. This does no harm if the request is repeatable.
     */
    fun wronglyClaimsNotRun(response: ForwardResult.Response, context: RequestContext): Boolean =
        response.status in NOT_RUN_STATUSES && !context.admission.route.retryable

    /** The failure of a request whose deadline has passed. */
    fun timedOut(context: RequestContext): Outcome.Failure =
        if (context.mayHaveRun) {
            Outcome.Failure(ResultCode.UPSTREAM_TIMEOUT)
        } else {
            Outcome.Failure(ResultCode.CAPACITY_EXHAUSTED, retryAfterMillis = RETRY_AFTER_MILLIS)
        }

    /** The failure of a request that this VM cannot end before it stops. */
    fun stopped(context: RequestContext): Outcome.Failure =
        if (context.mayHaveRun) {
            Outcome.Failure(ResultCode.ATTEMPTS_FAILED, "The VM stops.")
        } else {
            Outcome.Failure(ResultCode.DRAINING, retryAfterMillis = OTHER_VM_RETRY_AFTER_MILLIS)
        }

    /** Statuses that tell a caller that its request did not run and never will. */
    private val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    private const val RETRY_AFTER_MILLIS = 500L

    /** Other VMs take the request at once. */
    private const val OTHER_VM_RETRY_AFTER_MILLIS = 100L
}
