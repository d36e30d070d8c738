package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.monotonicMillis
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import kotlinx.coroutines.CancellationException
import org.slf4j.LoggerFactory

/**
 * Forwards requests with a single complete response to replicas of plain services. A repeatable request is hedged: if
 * the first replica is unresponsive, a second one gets the request too, and the first successful response is used. An
 * unresponsive replica alone does not end an attempt.
 */
internal class PlainForwarder(
    private val routing: ReplicaRouting,
    private val sender: ReplicaSender,
    private val crashes: CrashDetector,
) {
    private class Sent(val state: ReplicaState, val result: SendResult)

    private class Attempts(val race: Race<Sent>) {
        val excluded = HashSet<String>()

        /** Replicas to which the request was sent, whether or not they have responded. */
        var sends = 0

        /** Attempts that did not reach the replica: no connection, or another replica's address. */
        var undelivered = 0

        /** Whether a send reached a process, if only one that refused it for another replica. */
        var arrived = false
        var newest: ReplicaState? = null
        var errorResponse: ForwardResult.Response? = null
        var lastFailure = Outcome.Failure(ResultCode.NO_UPSTREAM, retryAfterMillis = NO_REPLICA_RETRY_AFTER_MILLIS)

        /** Unexpected exception thrown by a send. */
        var unexpected: Throwable? = null

        fun failed(refusal: (Outcome.Failure) -> Outcome.Failure): ForwardResult {
            errorResponse?.let { return it }
            throw unexpected ?: return ForwardResult.Failed(refusal(lastFailure))
        }
    }

    /** Sends the request to replicas until one responds or no further attempt is allowed. */
    suspend fun run(context: RequestContext): ForwardResult {
        routing.retries.recordRequest(context.service)
        return Race.run { race -> run(context, Attempts(race)) }
    }

    private suspend fun run(context: RequestContext, attempts: Attempts): ForwardResult {
        while (true) {
            if (mayAttempt(context, attempts)) next(context, attempts)?.let { send(context, attempts, it) }
            if (attempts.race.size == 0) {
                return attempts.failed { routing.withKnownRetryAfter(it, context, listOf(ReplicaStage.PLAIN)) }
            }
            val sent = attempts.race.next(hedgeDelay(context, attempts))
            if (sent == null) {
                recordUnresponsive(context, attempts)
            } else {
                ended(context, attempts, sent)?.let { return it }
            }
        }
    }

    private suspend fun next(context: RequestContext, attempts: Attempts): ReplicaState? {
        val filter = routing.filter(context)
        val select = {
            routing.selector.select(context.service, ReplicaStage.PLAIN, attempts.excluded, filter = filter)
        }
        var state = select()
        // While a send is in progress, its response is awaited instead.
        if (attempts.race.size == 0) {
            val cold = routing.cold
            while (state == null && cold.await(context, ReplicaStage.PLAIN, attempts.excluded, filter::allows)) {
                state = select()
            }
            val blocked =
                state == null && cold.blocks(context, ReplicaStage.PLAIN, attempts.excluded, filter::allows)
            if (blocked && !attempts.arrived) attempts.lastFailure = ColdSends.refusal()
        }
        val repeated = attempts.sends > 0 || attempts.arrived
        return state?.takeIf { !repeated || routing.retries.tryAcquire(context.service) }
    }

    private fun mayAttempt(context: RequestContext, attempts: Attempts): Boolean {
        val allowed = attempts.sends < context.admission.route.maxAttempts && attempts.undelivered < MAX_UNDELIVERED
        val repeatable = context.admission.route.retryable || !context.mayHaveRun
        return allowed && context.remainingMillis > 0 && !context.barred && repeatable
    }

    private fun send(context: RequestContext, attempts: Attempts, state: ReplicaState) {
        attempts.excluded += state.replica.id
        attempts.newest = state
        attempts.sends++
        context.recordSend()
        val time = context.remainingMillis
        val call = ReplicaRequestOptions(state.replica.id, context.admission.workspace?.name, time)
        attempts.race.add { Sent(state, sendAndRead(context, attempts, state, call)) }
    }

    @Suppress("TooGenericExceptionCaught") // Concurrent sends continue whatever this one throws.
    private suspend fun sendAndRead(
        context: RequestContext,
        attempts: Attempts,
        state: ReplicaState,
        call: ReplicaRequestOptions,
    ): SendResult =
        try {
            val began = monotonicMillis()
            sender.sendAndRead(state, context.request, call, call.remainingMillis).also {
                if (it is SendResult.Responded && !it.metadata.notRun && it.status < SERVER_ERROR) {
                    val path = routing.selector.roundTripMillis(state)
                    state.estimate.served(maxOf(1, monotonicMillis() - began - path).toDouble())
                }
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            log.atError().addKeyValue("replica", state.replica.id).setCause(e)
                .log("send to a replica failed unexpectedly")
            attempts.unexpected = e
            SendResult.NoResponse("unexpected failure")
        }

    private fun recordUnresponsive(context: RequestContext, attempts: Attempts) {
        val state = attempts.newest ?: return
        context.attemptLog += "${state.replica.id} unresponsive"
        state.recordNoResponse()
        attempts.newest = null
    }

    /** Handles the result of a send. Returns null if another attempt may follow. */
    private fun ended(context: RequestContext, attempts: Attempts, sent: Sent): ForwardResult? {
        val state = sent.state
        val id = state.replica.id
        return when (val result = sent.result) {
            is SendResult.Responded -> answered(context, attempts, state, result)
            is SendResult.NotSent -> {
                context.attemptLog += "$id unreachable"
                context.recordNotRun()
                attempts.sends--
                attempts.undelivered++
                if (result.noBudget) {
                    attempts.excluded -= id
                    // Nothing was sent that could be late.
                    if (attempts.newest === state) attempts.newest = null
                    attempts.lastFailure = ColdSends.refusal()
                } else {
                    state.recordNoResponse()
                    attempts.lastFailure =
                        Outcome.Failure(ResultCode.NO_UPSTREAM, result.reason, NO_REPLICA_RETRY_AFTER_MILLIS)
                }
                null
            }
            is SendResult.NoResponse -> {
                context.attemptLog += "$id no response: ${result.reason}"
                if (result.brokenOff) crashes.record(state, BrokenRun(context, settled = false))
                state.recordNoResponse()
                attempts.lastFailure = Outcome.Failure(ResultCode.ATTEMPTS_FAILED, result.reason)
                null
            }
        }
    }

    private fun answered(
        context: RequestContext,
        attempts: Attempts,
        state: ReplicaState,
        result: SendResult.Responded,
    ): ForwardResult? {
        context.attemptLog += "${state.replica.id} ${result.status}${if (result.metadata.notRun) " not run" else ""}"
        attempts.arrived = true
        if (result.metadata.notRun) {
            context.recordNotRun()
            if (result.metadata.otherReplica) {
                // A different replica now has the address, so the intended one never got the request.
                attempts.sends--
                attempts.undelivered++
                state.recordNoResponse()
            } else {
                state.full = true
            }
            attempts.lastFailure =
                Outcome.Failure(ResultCode.CAPACITY_EXHAUSTED, retryAfterMillis = FULL_RETRY_AFTER_MILLIS)
            return null
        }
        crashes.recordSound(context, monotonicMillis())
        val good = result.status < SERVER_ERROR
        state.recordResponse(good)
        val response = ForwardResult.Response(result.status, result.headers, result.body)
        if (good || !context.admission.route.retryable) return response
        attempts.errorResponse = response
        return null
    }

    /** Milliseconds to wait for a response before the request is also sent to another replica, if that is allowed. */
    private fun hedgeDelay(context: RequestContext, attempts: Attempts): Long {
        val route = context.admission.route
        val another = mayAttempt(context, attempts) && routing.retries.isAvailable(context.service)
        val path = attempts.newest?.let(routing.selector::roundTripMillis) ?: 0
        val first = maxOf(route.objectiveMillis * FIRST_PERCENT / PERCENT, MIN_FIRST_TIMEOUT_MILLIS) + path
        return if (another) minOf(first, context.remainingMillis) else context.remainingMillis
    }

    private companion object {
        val log = LoggerFactory.getLogger(PlainForwarder::class.java)
        const val SERVER_ERROR = 500

        /** Part of the latency objective for the first attempt; the rest is enough for an ordinary response. */
        const val FIRST_PERCENT = 60
        const val PERCENT = 100

        /** Plain requests take tens of milliseconds; a shorter delay would also hedge ordinary slow ones. */
        const val MIN_FIRST_TIMEOUT_MILLIS = 150L

        /** Undelivered attempts after which the request fails. */
        const val MAX_UNDELIVERED = 3

        /** Retry-After: until a failed replica is tried again, and until slots are free. */
        const val NO_REPLICA_RETRY_AFTER_MILLIS = 500L
        const val FULL_RETRY_AFTER_MILLIS = 200L
    }
}
