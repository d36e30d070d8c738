package fireflyhinge.gateway.forward

import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.result.Run

/** Makes failures say the truth about whether the request ran. */
internal object FailureMapper {
    /** [failure] as it may be told to the caller of [context]; a request whose time is over failed because of that. */
    fun truthful(failure: Outcome.Failure, context: RequestContext): Outcome.Failure =
        when {
            context.remaining <= 0 -> late(context)
            failure.code.run == Run.NOT_RUN && context.mayHaveRun ->
                Outcome.Failure(ResultCode.ATTEMPTS_FAILED, failure.detail)
            else -> failure
        }

    /**
     * Whether the status of [answer] promises the caller of [context] that the request will never run, which a replica
     * states otherwise. The caller of a request that may run again takes no harm.
     */
    fun promisesTooMuch(answer: ForwardResult.Response, context: RequestContext): Boolean =
        answer.status in PROMISES && !context.admission.route.retryable

    /** The failure of an [context] whose time is over. */
    fun late(context: RequestContext): Outcome.Failure =
        if (context.mayHaveRun) {
            Outcome.Failure(ResultCode.UPSTREAM_TIMEOUT)
        } else {
            Outcome.Failure(ResultCode.CAPACITY_EXHAUSTED, retryAfterMillis = COME_BACK_MILLIS)
        }

    /** Statuses that tell a caller that its request has not run and never will. */
    private val PROMISES = setOf(408, 421, 429, 503)
    private const val COME_BACK_MILLIS = 500L
}
