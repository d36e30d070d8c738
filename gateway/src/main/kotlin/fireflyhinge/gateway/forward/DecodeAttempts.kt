package fireflyhinge.gateway.forward

import fireflyhinge.forward.EventSequence
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import kotlin.random.Random

/** Attempts of one model request so far. Used by one coroutine. */
internal class DecodeAttempts(lastEvent: Long?) {
    val order = EventSequence(lastEvent)
    val excluded = HashSet<String>()

    /** Runs sent to decode replicas that have ended. */
    var sends = 0

    /** Whether a run reached a process, if only one that refused it for another replica. */
    var arrived = false

    /** Prefills started. */
    var prefillCount = 0

    /** Attempts that did not reach the decode replica: no prefill, no connection, or another replica's address. */
    var undelivered = 0

    /** Failover that was prepared while the current replica was unresponsive. */
    var failover: PreparedRun? = null
    var lastFailure = capacityExhausted()

    /**
     * Whether another attempt is permitted: limits and deadline are not reached, and the request has certainly not run
     * or its stream can be resumed.
     */
    fun mayAttempt(context: RequestContext): Boolean {
        val route = context.admission.route
        val allowed = sends < route.maxAttempts && undelivered < MAX_UNDELIVERED
        val repeatable = (route.resumable && order.allNumbered) || !context.mayHaveRun
        return allowed && context.remainingMillis > 0 && !context.barred && repeatable
    }

    /** Whether the route permits another run after [running] ones that have not ended. */
    fun mayResume(context: RequestContext, running: Int): Boolean {
        val route = context.admission.route
        return route.resumable && sends + running < route.maxAttempts
    }

    /** Records that the queue refused the request, whose caller may return after [retryAfterMillis]. */
    fun refusedByQueue(retryAfterMillis: Long) {
        if (lastFailure.code != ResultCode.CAPACITY_EXHAUSTED) return
        lastFailure = Outcome.Failure(ResultCode.CAPACITY_EXHAUSTED, retryAfterMillis = retryAfterMillis)
    }

    companion object {
        /** Undelivered attempts after which the request fails. */
        private const val MAX_UNDELIVERED = 3

        /** Minimum Retry-After when all replicas are full: until running responses have ended. */
        private const val MIN_FULL_RETRY_AFTER_MILLIS = 2_250L

        /** The retry delay is random, to spread the callers' retries. */
        fun capacityExhausted() = Outcome.Failure(
            ResultCode.CAPACITY_EXHAUSTED,
            retryAfterMillis = Random.nextLong(MIN_FULL_RETRY_AFTER_MILLIS, 2 * MIN_FULL_RETRY_AFTER_MILLIS),
        )
    }
}
