package fireflyhinge.gateway.forward

import fireflyhinge.forward.EventSequence
import fireflyhinge.forward.KvCacheLocation
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.AnswerWriter
import fireflyhinge.gateway.http.nowMillis
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import kotlin.random.Random

/** Forwards model requests: the prompt is read by a prefill replica, the answer written by a decode replica. */
internal class StreamForwarder(
    private val routing: ReplicaRouting,
    private val sender: ReplicaSender,
    private val calls: ReservationClient,
) {
    private class Tries(lastEvent: Long?) {
        val order = EventSequence(lastEvent)
        val avoid = HashSet<String>()

        /** Runs that decode replicas got, and times that the prompt was sent to be read. */
        var sends = 0
        var reads = 0

        /** Replicas that could not be used for a reason of their own. */
        var unreachable = 0

        /** What was prepared failover while the replica before was silent. */
        var secured: PreparedFailover? = null
        var last = full()

        fun mayTry(context: RequestContext): Boolean {
            val route = context.admission.route
            val allowed = sends < route.maxAttempts && unreachable < MOST_UNREACHABLE
            val repeatable = (route.resumable && order.allNumbered) || !context.mayHaveRun
            return allowed && context.remaining > 0 && repeatable
        }

        fun failed(answer: AnswerWriter): ForwardResult {
            val reason = last.detail.ifEmpty { last.code.text }
            return if (answer.started) ForwardResult.Interrupted(reason) else ForwardResult.Failed(last)
        }
    }

    private val prefills = PrefillDispatcher(routing, sender)
    private val places = SlotReserver(routing, calls)

    /** Prefills, decodes, and hands the events on to [answer]; a resumable stream that breaks goes on failover. */
    suspend fun run(context: RequestContext, answer: AnswerWriter): ForwardResult {
        routing.retries.recordRequest(context.service)
        val tries = Tries(context.metadata.lastEvent)
        val route = context.admission.route
        val placeUntil = context.request.arrivedMillis + route.objectiveMillis * PLACE_PERCENT / PERCENT
        try {
            while (tries.mayTry(context)) {
                val prepared = tries.secured
                tries.secured = null
                val place = prepared?.place ?: next(context, tries, placeUntil, answer) ?: break
                tries.avoid += place.state.replica.id
                val result = readAndDecode(context, tries, place, prepared, answer)
                if (result is DecodeStepResult.Finished) return result.value
            }
            return tries.failed(answer)
        } finally {
            discard(context, tries)
        }
    }

    private suspend fun next(
        context: RequestContext,
        tries: Tries,
        placeUntil: Long,
        answer: AnswerWriter,
    ): DecodeTarget? {
        if (tries.sends > 0 && !routing.retries.tryAcquire(context.service)) {
            context.attemptLog += "no repeat left"
            return null
        }
        // The caller of a stream that broke off waits longer than one whose answer has not begun.
        val until = if (answer.started) nowMillis() + RESUME_MILLIS else placeUntil
        val place = places.find(context, tries.avoid, until, resumed = answer.started)
        if (place == null) context.attemptLog += "no place"
        return place
    }

    /**
     * Prepares another replica for a request whose replica is silent: the place, the cache, and the repeated send. A
     * run ends only for one that lacks nothing of these.
     */
    private inner class Elsewhere(
        private val context: RequestContext,
        private val tries: Tries,
        private val answer: AnswerWriter,
    ) : FailoverTarget {
        override suspend fun prepare(): Boolean {
            if (!tries.order.allNumbered || !routing.retries.tryAcquire(context.service)) return false
            try {
                val place = places.find(context, tries.avoid, untilMillis = 0, resumed = answer.started)
                tries.secured = place?.let { read(it) }
            } finally {
                if (tries.secured == null) routing.retries.release(context.service)
            }
            return tries.secured != null
        }

        private suspend fun read(place: DecodeTarget): PreparedFailover? {
            var prepared: PreparedFailover? = null
            try {
                val read = prefills.run(context, place.state.replica.failureDomain, repeated = tries.reads++ > 0)
                val cache = (read as? PrefillResult.Completed)?.cache
                val usable = cache != null || mayReadItself(context, place.state, read)
                if (usable) prepared = PreparedFailover(place, cache)
                return prepared
            } finally {
                if (prepared == null) giveUp(place)
            }
        }

        override fun discard() = discard(context, tries)
    }

    private fun discard(context: RequestContext, tries: Tries) {
        val unused = tries.secured ?: return
        tries.secured = null
        unused.cache?.let(calls::release)
        giveUp(unused.place)
        routing.retries.release(context.service)
    }

    private suspend fun readAndDecode(
        context: RequestContext,
        tries: Tries,
        place: DecodeTarget,
        prepared: PreparedFailover?,
        answer: AnswerWriter,
    ): DecodeStepResult {
        val result = readOnce(context, tries, place, prepared, answer)
        // A cache that lapsed is read again for the same replica, which has room, unless it began to leave meanwhile.
        val wanted = result is DecodeStepResult.CacheUnavailable && routing.table.usable(place.state)
        val again = wanted && routing.retries.tryAcquire(context.service)
        if (!again) return result
        return readOnce(context, tries, DecodeTarget(place.state, reservation = null), prepared = null, answer)
    }

    private suspend fun readOnce(
        context: RequestContext,
        tries: Tries,
        place: DecodeTarget,
        prepared: PreparedFailover?,
        answer: AnswerWriter,
    ): DecodeStepResult {
        var cache = prepared?.cache
        var free = true
        try {
            if (prepared == null) {
                val read = prefills.run(context, place.state.replica.failureDomain, repeated = tries.reads++ > 0)
                cache = (read as? PrefillResult.Completed)?.cache
                if (cache == null && !mayReadItself(context, place.state, read)) {
                    tries.unreachable++
                    tries.last = full()
                    return DecodeStepResult.NotRun
                }
            }
            free = false
            return decode(context, tries, place, cache, answer)
                .also { if (it is DecodeStepResult.Finished) cache = null }
        } finally {
            cache?.let(calls::release)
            if (free) giveUp(place)
        }
    }

    /**
     * A decode replica that reads a prompt holds up the answers of all its other requests for longer than a stream may
     * pause. So it does that only while it has few of them, or where there is no prefill replica.
     */
    private fun mayReadItself(context: RequestContext, state: ReplicaState, read: PrefillResult): Boolean =
        read == PrefillResult.NoReplica || routing.selector.load(context.service, state) < IDLE_LOAD

    private fun giveUp(place: DecodeTarget) {
        place.reservation?.let { calls.unreserve(place.state, it) }
    }

    private suspend fun decode(
        context: RequestContext,
        tries: Tries,
        place: DecodeTarget,
        cache: KvCacheLocation?,
        answer: AnswerWriter,
    ): DecodeStepResult {
        val state = place.state
        val id = state.replica.id
        val call =
            ReplicaRequestOptions(
                replicaId = id,
                workspace = context.admission.workspace?.name,
                remainingMillis = context.remaining,
                cache = cache,
                reservation = place.reservation,
                lastEvent = tries.order.lastNumber,
            )
        context.sending()
        val another = context.admission.route.resumable && tries.sends + 1 < context.admission.route.maxAttempts
        val failover = if (another) Elsewhere(context, tries, answer) else null
        val outcome = DecodeSession(sender, context, tries.order, answer, failover).run(state, call)
        context.attemptLog += "decode $id $outcome"
        return when (outcome) {
            is DecodeOutcome.Completed -> {
                state.recordResponse(success = true)
                DecodeStepResult.Finished(ForwardResult.Streamed)
            }
            is DecodeOutcome.OtherResponse -> other(tries, state, outcome, another, answer)
            is DecodeOutcome.NotRun -> notRun(context, tries, state, outcome, cache != null)
            is DecodeOutcome.NotSent -> {
                context.didNotRun()
                tries.unreachable++
                state.recordNoResponse()
                tries.last = Outcome.Failure(ResultCode.NO_UPSTREAM, outcome.reason, NO_REPLICA_MILLIS)
                DecodeStepResult.NotRun
            }
            is DecodeOutcome.Interrupted -> {
                tries.sends++
                state.recordNoResponse()
                tries.last = Outcome.Failure(ResultCode.ATTEMPTS_FAILED, outcome.reason)
                DecodeStepResult.MayHaveRun
            }
        }
    }

    private fun notRun(
        context: RequestContext,
        tries: Tries,
        state: ReplicaState,
        outcome: DecodeOutcome.NotRun,
        withCache: Boolean,
    ): DecodeStepResult {
        context.didNotRun()
        tries.last = full()
        if (outcome.otherReplica) {
            tries.unreachable++
            state.recordNoResponse()
            return DecodeStepResult.NotRun
        }
        tries.sends++
        // The cache may have lapsed; the answer does not tell that apart from a full replica.
        if (withCache) return DecodeStepResult.CacheUnavailable
        state.full = true
        return DecodeStepResult.NotRun
    }

    private fun other(
        tries: Tries,
        state: ReplicaState,
        outcome: DecodeOutcome.OtherResponse,
        another: Boolean,
        answer: AnswerWriter,
    ): DecodeStepResult {
        tries.sends++
        val good = outcome.answer.status < SERVER_ERROR
        state.recordResponse(good)
        // Behind events that the caller has, only further events may follow.
        if (!answer.started && (good || !another)) return DecodeStepResult.Finished(outcome.answer)
        tries.last = Outcome.Failure(ResultCode.UPSTREAM_FAILED, outcome.toString())
        return DecodeStepResult.MayHaveRun
    }

    private companion object {
        const val SERVER_ERROR = 500

        /** Replicas that cannot be reached before a request is given up. */
        const val MOST_UNREACHABLE = 3

        /** Load of a decode replica with about two requests. */
        const val IDLE_LOAD = 0.25

        /** When a caller may come back: after the next try of a replica that failed, and when answers have ended. */
        const val NO_REPLICA_MILLIS = 500L
        const val FULL_MILLIS = 2_250L

        /** Callers leave after two seconds without an event; reading the prompt anew takes some 0.3 s. */
        const val RESUME_MILLIS = 1_200L

        /** Part of the objective that a request waits for a place; the rest is enough to read the prompt. */
        const val PLACE_PERCENT = 80
        const val PERCENT = 100

        /** Spreads the callers that come back. */
        fun full() = Outcome.Failure(
            ResultCode.CAPACITY_EXHAUSTED,
            retryAfterMillis = Random.nextLong(FULL_MILLIS, 2 * FULL_MILLIS),
        )
    }
}
