package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaState
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import kotlinx.coroutines.CancellationException
import org.slf4j.LoggerFactory

/**
 * Forwards requests that are answered whole to replicas of plain services. A request that may be repeated is sent to a
 * second replica while the first one is silent, and gets the first good answer: silence alone ends no try.
 */
internal class PlainForwarder(private val routing: ReplicaRouting, private val sender: ReplicaSender) {
    private class Sent(val state: ReplicaState, val result: SendResult)

    private class Tries(val race: Race<Sent>) {
        val avoid = HashSet<String>()

        /** Replicas that got the request, whether or not they have answered. */
        var sends = 0
        var unreachable = 0
        var newest: ReplicaState? = null
        var failedAnswer: ForwardResult.Response? = null
        var last = Outcome.Failure(ResultCode.NO_UPSTREAM, retryAfterMillis = NO_REPLICA_MILLIS)

        /** What a send threw that nobody expected. */
        var unexpected: Throwable? = null

        fun failed(): ForwardResult {
            failedAnswer?.let { return it }
            throw unexpected ?: return ForwardResult.Failed(last)
        }
    }

    /** Sends the request to replicas until one answers it or no other try is allowed. */
    suspend fun run(context: RequestContext): ForwardResult {
        routing.retries.recordRequest(context.service)
        return Race.run { race -> run(context, Tries(race)) }
    }

    private suspend fun run(context: RequestContext, tries: Tries): ForwardResult {
        while (true) {
            if (mayTry(context, tries)) next(context, tries)?.let { send(context, tries, it) }
            if (tries.race.size == 0) return tries.failed()
            val sent = tries.race.next(patience(context, tries))
            if (sent == null) noteSilence(context, tries) else ended(context, tries, sent)?.let { return it }
        }
    }

    private fun next(context: RequestContext, tries: Tries): ReplicaState? {
        val state = routing.selector.select(context.service, ReplicaStage.PLAIN, tries.avoid)
        return state?.takeIf { tries.sends == 0 || routing.retries.tryAcquire(context.service) }
    }

    private fun mayTry(context: RequestContext, tries: Tries): Boolean {
        val allowed = tries.sends < context.admission.route.maxAttempts && tries.unreachable < MOST_UNREACHABLE
        return allowed && context.remaining > 0 && (context.admission.route.retryable || !context.mayHaveRun)
    }

    private fun send(context: RequestContext, tries: Tries, state: ReplicaState) {
        tries.avoid += state.replica.id
        tries.newest = state
        tries.sends++
        context.sending()
        val time = context.remaining
        val call = ReplicaRequestOptions(state.replica.id, context.admission.workspace?.name, time)
        tries.race.add { Sent(state, whole(context, tries, state, call)) }
    }

    @Suppress("TooGenericExceptionCaught") // The sends beside this one go on whatever it throws.
    private suspend fun whole(
        context: RequestContext,
        tries: Tries,
        state: ReplicaState,
        call: ReplicaRequestOptions,
    ): SendResult =
        try {
            sender.whole(state, context.request, call, call.remainingMillis)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            log.atError().addKeyValue("replica", state.replica.id).setCause(e).log("a send failed unexpectedly")
            tries.unexpected = e
            SendResult.NoResponse("unexpected failure")
        }

    private fun noteSilence(context: RequestContext, tries: Tries) {
        val state = tries.newest ?: return
        context.attemptLog += "${state.replica.id} silent"
        state.recordNoResponse()
        tries.newest = null
    }

    /** Takes the end of a send; null if another one may follow. */
    private fun ended(context: RequestContext, tries: Tries, sent: Sent): ForwardResult? {
        val state = sent.state
        val id = state.replica.id
        return when (val result = sent.result) {
            is SendResult.Responded -> answered(context, tries, state, result)
            is SendResult.NotSent -> {
                context.attemptLog += "$id unreachable"
                context.didNotRun()
                tries.sends--
                tries.unreachable++
                state.recordNoResponse()
                tries.last = Outcome.Failure(ResultCode.NO_UPSTREAM, result.reason, NO_REPLICA_MILLIS)
                null
            }
            is SendResult.NoResponse -> {
                context.attemptLog += "$id lost: ${result.reason}"
                state.recordNoResponse()
                tries.last = Outcome.Failure(ResultCode.ATTEMPTS_FAILED, result.reason)
                null
            }
        }
    }

    private fun answered(
        context: RequestContext,
        tries: Tries,
        state: ReplicaState,
        result: SendResult.Responded,
    ): ForwardResult? {
        context.attemptLog += "${state.replica.id} ${result.status}${if (result.metadata.notRun) " not run" else ""}"
        result.metadata.load?.let(state::recordLoad)
        if (result.metadata.notRun) {
            context.didNotRun()
            if (result.metadata.otherReplica) {
                // Another process at the address did not get the request as its replica.
                tries.sends--
                tries.unreachable++
                state.recordNoResponse()
            } else {
                state.full = true
            }
            tries.last = Outcome.Failure(ResultCode.CAPACITY_EXHAUSTED, retryAfterMillis = FULL_MILLIS)
            return null
        }
        val good = result.status < SERVER_ERROR
        state.recordResponse(good)
        val answer = ForwardResult.Response(result.status, result.headers, result.body)
        if (good || !context.admission.route.retryable) return answer
        tries.failedAnswer = answer
        return null
    }

    /** Time until a request that may be sent to another replica is, although the one before has not answered. */
    private fun patience(context: RequestContext, tries: Tries): Long {
        val route = context.admission.route
        val another = mayTry(context, tries) && routing.retries.isAvailable(context.service)
        val first = maxOf(route.objectiveMillis * FIRST_PERCENT / PERCENT, LEAST_PATIENCE_MILLIS)
        return if (another) minOf(first, context.remaining) else context.remaining
    }

    private companion object {
        val log = LoggerFactory.getLogger(PlainForwarder::class.java)
        const val SERVER_ERROR = 500

        /** Part of the objective that the first try may take; the rest is enough for an ordinary answer. */
        const val FIRST_PERCENT = 60
        const val PERCENT = 100

        /** Requests of plain services take tens of milliseconds; sooner, a retry would hit ordinary slow ones. */
        const val LEAST_PATIENCE_MILLIS = 150L

        /** Replicas that cannot be reached before a request is given up. */
        const val MOST_UNREACHABLE = 3

        /** When a caller may come back: after the next try of a replica that failed, and when places are free. */
        const val NO_REPLICA_MILLIS = 500L
        const val FULL_MILLIS = 200L
    }
}
