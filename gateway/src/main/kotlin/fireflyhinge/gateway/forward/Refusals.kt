package fireflyhinge.gateway.forward

import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.result.Run

/** Makes failures say the truth about whether the request ran. */
internal object Refusals {
    /** [failure] as it may be told to the caller of [attempt]; a request whose time is over failed because of that. */
    fun truthful(failure: Outcome.Failure, attempt: Attempt): Outcome.Failure =
        when {
            attempt.remaining <= 0 -> late(attempt)
            failure.code.run == Run.NOT_RUN && attempt.mayHaveRun ->
                Outcome.Failure(ResultCode.ATTEMPTS_FAILED, failure.detail)
            else -> failure
        }

    /** The failure of an [attempt] whose time is over. */
    fun late(attempt: Attempt): Outcome.Failure =
        if (attempt.mayHaveRun) {
            Outcome.Failure(ResultCode.UPSTREAM_TIMEOUT)
        } else {
            Outcome.Failure(ResultCode.CAPACITY_EXHAUSTED, retryAfterMillis = COME_BACK_MILLIS)
        }

    private const val COME_BACK_MILLIS = 500L
}
