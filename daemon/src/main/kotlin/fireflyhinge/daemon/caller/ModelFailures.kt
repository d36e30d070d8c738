package fireflyhinge.daemon.caller

import fireflyhinge.engine.EngineFailure
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode

/** The code of a request whose attempts are used up. "Not run" is stated only when no upstream ran any part. */
internal fun exhausted(progress: AnswerProgress, last: AttemptResult.Failed?): Outcome.Failure {
    val code =
        when {
            progress.next > 0 -> ResultCode.ANSWER_INTERRUPTED
            progress.ran -> ResultCode.ATTEMPTS_FAILED
            last?.failure is EngineFailure.Unreachable -> ResultCode.UPSTREAM_CONNECT_FAILED
            last?.failure is EngineFailure.Refused -> ResultCode.UPSTREAM_REFUSED
            else -> ResultCode.PLACEMENT_UNAVAILABLE
        }
    return Outcome.Failure(code)
}

/** The code of a request whose key was withdrawn while it ran. */
internal fun withdrawn(progress: AnswerProgress): Outcome.Failure =
    Outcome.Failure(if (progress.ran) ResultCode.KEY_WITHDRAWN else ResultCode.KEY_UNKNOWN)
