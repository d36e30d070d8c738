package fireflyhinge.daemon.service

import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode

/** Result of a service call. [ran] tells that an upstream may have run it, so that its charge is not returned. */
internal class ServiceReply(val outcome: Outcome<ServiceAnswer>, val ran: Boolean) {
    companion object {
        fun refused(failure: Outcome.Failure) = ServiceReply(failure, ran = false)

        /** The reply for what a replica answered to a call that may be sent [once] only. */
        fun of(result: SendResult?, once: Boolean): ServiceReply =
            when (result) {
                null -> refused(Outcome.Failure(ResultCode.NO_UPSTREAM))
                is SendResult.NotSent -> refused(Outcome.Failure(ResultCode.UPSTREAM_CONNECT_FAILED))
                is SendResult.Answered -> ServiceReply(Outcome.Success(result.answer), ran = true)
                is SendResult.Lost -> ServiceReply(Outcome.Failure(lost(result, once)), ran = true)
                SendResult.TooLarge -> ServiceReply(Outcome.Failure(ResultCode.UPSTREAM_FAILED, TOO_LARGE), ran = true)
            }

        private fun lost(result: SendResult.Lost, once: Boolean): ResultCode =
            when {
                once -> ResultCode.OUTCOME_UNKNOWN
                result.timedOut -> ResultCode.UPSTREAM_TIMEOUT
                else -> ResultCode.ATTEMPTS_FAILED
            }

        private const val TOO_LARGE = "The answer is larger than the limit."
    }
}
