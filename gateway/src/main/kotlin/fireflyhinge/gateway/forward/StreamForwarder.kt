package fireflyhinge.gateway.forward

import fireflyhinge.forward.EventSequence
import fireflyhinge.forward.KvCacheLocation
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.ResponseWriter
import fireflyhinge.gateway.http.monotonicMillis
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import kotlin.random.Random

/** Forwards model requests: a prefill replica reads the prompt, a decode replica generates the response. */
internal class StreamForwarder(
    private val routing: ReplicaRouting,
    private val sender: ReplicaSender,
    private val reservations: ReservationClient,
    private val crashes: CrashDetector,
) {
    private class Attempts(lastEvent: Long?) {
        val order = EventSequence(lastEvent)
        val excluded = HashSet<String>()

        /** Runs sent to decode replicas. */
        var sends = 0

        /** Whether a run reached a process, if only one that refused it for another replica. */
        var arrived = false

        /** Prefills started. */
        var prefillCount = 0

        /** Attempts that did not reach the decode replica: no prefill, no connection, or another replica's address. */
        var undelivered = 0

        /** Failover that was prepared while the current replica was unresponsive. */
        var failover: PreparedFailover? = null
        var lastFailure = capacityExhausted()

        /**
         * Whether another attempt is permitted: limits and deadline are not reached, and the request has certainly not
         * run or its stream can be resumed.
         */
        fun mayAttempt(context: RequestContext): Boolean {
            val route = context.admission.route
            val allowed = sends < route.maxAttempts && undelivered < MAX_UNDELIVERED
            val repeatable = (route.resumable && order.allNumbered) || !context.mayHaveRun
            return allowed && context.remainingMillis > 0 && !context.barred && repeatable
        }
    }

    private val prefillDispatcher = PrefillDispatcher(routing, sender, crashes)
    private val slots = SlotReserver(routing, reservations)

    /** Prefills, decodes, and forwards the events to [response]. A resumable stream that breaks continues elsewhere. */
    suspend fun run(context: RequestContext, response: ResponseWriter): ForwardResult {
        routing.retries.recordRequest(context.service)
        val attempts = Attempts(context.metadata.lastEvent)
        val route = context.admission.route
        val slotDeadlineMillis = context.request.arrivedMillis + route.objectiveMillis * SLOT_WAIT_PERCENT / PERCENT
        try {
            while (attempts.mayAttempt(context)) {
                val prepared = attempts.failover
                attempts.failover = null
                val target = prepared?.target ?: next(context, attempts, slotDeadlineMillis, response) ?: break
                attempts.excluded += target.state.replica.id
                val result = prefillAndDecode(context, attempts, target, prepared, response)
                if (result is DecodeStepResult.Finished) return result.value
            }
            val failure = attempts.lastFailure
            if (response.started) return ForwardResult.Interrupted(failure.detail.ifEmpty { failure.code.text })
            val stages = listOf(ReplicaStage.DECODE, ReplicaStage.PREFILL)
            return ForwardResult.Failed(routing.withKnownRetryAfter(failure, context.service, stages))
        } finally {
            discard(context, attempts)
        }
    }

    private suspend fun next(
        context: RequestContext,
        attempts: Attempts,
        slotDeadlineMillis: Long,
        response: ResponseWriter,
    ): DecodeTarget? {
        if (attempts.arrived && !routing.retries.tryAcquire(context.service)) {
            context.attemptLog += "no retry budget left"
            return null
        }
        // Callers wait longer for an interrupted stream to resume than for a response to begin.
        val until = if (response.started) monotonicMillis() + RESUME_SLOT_WAIT_MILLIS else slotDeadlineMillis
        val target = slots.reserve(context, attempts.excluded, until, resumed = response.started)
        if (target == null) context.attemptLog += "no decode slot found"
        return target
    }

    /**
     * Prepares another replica for a request whose replica is unresponsive: the slot, the KV cache and a retry from the
     * budget. The current run is ended only when all of these are available.
     */
    private inner class Failover(
        private val context: RequestContext,
        private val attempts: Attempts,
        private val response: ResponseWriter,
    ) : FailoverTarget {
        override suspend fun prepare(): Boolean {
            if (context.barred || !attempts.order.allNumbered) return false
            if (!routing.retries.tryAcquire(context.service)) return false
            try {
                // untilMillis = 0 means not to wait for a slot.
                val target = slots.reserve(context, attempts.excluded, untilMillis = 0, resumed = response.started)
                attempts.failover = target?.let { prefill(it) }
            } finally {
                if (attempts.failover == null) routing.retries.release(context.service)
            }
            return attempts.failover != null
        }

        private suspend fun prefill(target: DecodeTarget): PreparedFailover? {
            var prepared: PreparedFailover? = null
            try {
                val retry = attempts.prefillCount++ > 0
                val prefill = prefillDispatcher.run(context, target.state.replica.failureDomain, retry)
                val cache = (prefill as? PrefillResult.Completed)?.cache
                val usable = cache != null || mayPrefillLocally(context, target.state, prefill)
                if (usable) prepared = PreparedFailover(target, cache)
                return prepared
            } finally {
                if (prepared == null) releaseReservation(target)
            }
        }

        override fun discard() = discard(context, attempts)
    }

    private fun discard(context: RequestContext, attempts: Attempts) {
        val unused = attempts.failover ?: return
        attempts.failover = null
        unused.cache?.let(reservations::release)
        releaseReservation(unused.target)
        routing.retries.release(context.service)
    }

    private suspend fun prefillAndDecode(
        context: RequestContext,
        attempts: Attempts,
        target: DecodeTarget,
        prepared: PreparedFailover?,
        response: ResponseWriter,
    ): DecodeStepResult {
        val result = prefillAndDecodeOnce(context, attempts, target, prepared, response)
        // The replica was selected for its free capacity, so the KV cache has probably expired: prefill again for the
        // same replica, unless it is now leaving.
        val expired = result is DecodeStepResult.CacheUnavailable && routing.table.usable(target.state)
        val retry = expired && routing.retries.tryAcquire(context.service)
        if (!retry) return result
        val unreserved = DecodeTarget(target.state, reservation = null)
        return prefillAndDecodeOnce(context, attempts, unreserved, prepared = null, response)
    }

    private suspend fun prefillAndDecodeOnce(
        context: RequestContext,
        attempts: Attempts,
        target: DecodeTarget,
        prepared: PreparedFailover?,
        response: ResponseWriter,
    ): DecodeStepResult {
        var cache = prepared?.cache
        var reservationUnused = true
        try {
            if (prepared == null) {
                val retry = attempts.prefillCount++ > 0
                val prefill = prefillDispatcher.run(context, target.state.replica.failureDomain, retry)
                cache = (prefill as? PrefillResult.Completed)?.cache
                if (cache == null && !mayPrefillLocally(context, target.state, prefill)) {
                    attempts.undelivered++
                    attempts.lastFailure = capacityExhausted()
                    return DecodeStepResult.NotRun
                }
            }
            reservationUnused = false
            return decode(context, attempts, target, cache, response)
                .also { if (it is DecodeStepResult.Finished) cache = null }
        } finally {
            cache?.let(reservations::release)
            if (reservationUnused) releaseReservation(target)
        }
    }

    /**
     * Prefilling on a decode replica stalls all its other streams for longer than a stream may pause. So it is allowed
     * only while the replica has few requests, or where there is no prefill replica.
     */
    private fun mayPrefillLocally(context: RequestContext, state: ReplicaState, prefill: PrefillResult): Boolean =
        prefill == PrefillResult.NoReplica || routing.selector.load(context.service, state) < IDLE_LOAD

    private fun releaseReservation(target: DecodeTarget) {
        target.reservation?.let { reservations.releaseReservation(target.state, it) }
    }

    private suspend fun decode(
        context: RequestContext,
        attempts: Attempts,
        target: DecodeTarget,
        cache: KvCacheLocation?,
        response: ResponseWriter,
    ): DecodeStepResult {
        val state = target.state
        val id = state.replica.id
        val obstacle =
            when {
                context.barred -> "such requests crash replicas"
                state.availability.backoffMillis > 0 -> "it asked for a pause"
                else -> null
            }
        if (obstacle != null) {
            context.attemptLog += "decode $id not sent, $obstacle"
            attempts.undelivered++
            return DecodeStepResult.NotRun
        }
        val call =
            ReplicaRequestOptions(
                replicaId = id,
                workspace = context.admission.workspace?.name,
                remainingMillis = context.remainingMillis,
                cache = cache,
                reservation = target.reservation,
                lastEvent = attempts.order.lastNumber,
            )
        context.recordSend()
        val mayRetry = context.admission.route.resumable && attempts.sends + 1 < context.admission.route.maxAttempts
        val failover = if (mayRetry) Failover(context, attempts, response) else null
        val outcome = DecodeSession(sender, context, attempts.order, response, failover, crashes).run(state, call)
        context.attemptLog += "decode $id $outcome"
        if (outcome !is DecodeOutcome.NotSent) attempts.arrived = true
        return when (outcome) {
            is DecodeOutcome.Completed -> {
                state.recordResponse(success = true)
                DecodeStepResult.Finished(ForwardResult.Streamed)
            }
            is DecodeOutcome.OtherResponse -> otherResponse(attempts, state, outcome, mayRetry, response)
            is DecodeOutcome.NotRun -> notRun(context, attempts, state, outcome, cache != null)
            is DecodeOutcome.NotSent -> {
                context.recordNotRun()
                attempts.undelivered++
                state.recordNoResponse()
                attempts.lastFailure =
                    Outcome.Failure(ResultCode.NO_UPSTREAM, outcome.reason, NO_REPLICA_RETRY_AFTER_MILLIS)
                DecodeStepResult.NotRun
            }
            is DecodeOutcome.Interrupted -> {
                attempts.sends++
                state.recordNoResponse()
                attempts.lastFailure = Outcome.Failure(ResultCode.ATTEMPTS_FAILED, outcome.reason)
                DecodeStepResult.MayHaveRun
            }
        }
    }

    private fun notRun(
        context: RequestContext,
        attempts: Attempts,
        state: ReplicaState,
        outcome: DecodeOutcome.NotRun,
        withCache: Boolean,
    ): DecodeStepResult {
        context.recordNotRun()
        attempts.lastFailure = capacityExhausted()
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
        attempts: Attempts,
        state: ReplicaState,
        outcome: DecodeOutcome.OtherResponse,
        mayRetry: Boolean,
        response: ResponseWriter,
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

        /** Undelivered attempts after which the request fails. */
        const val MAX_UNDELIVERED = 3

        /** Load of a decode replica that runs about two requests. */
        const val IDLE_LOAD = 0.25

        /** Retry-After when no replica is reachable: until a failed replica is tried again. */
        const val NO_REPLICA_RETRY_AFTER_MILLIS = 500L

        /** Minimum Retry-After when all replicas are full: until running responses have ended. */
        const val MIN_FULL_RETRY_AFTER_MILLIS = 2_250L

        /** Callers disconnect after 2 s without an event; another prefill takes about 0.3 s of that. */
        const val RESUME_SLOT_WAIT_MILLIS = 1_200L

        /** Part of the latency objective that a request waits for a slot; the rest is enough for the prefill. */
        const val SLOT_WAIT_PERCENT = 80
        const val PERCENT = 100

        /** The retry delay is random, to spread the callers' retries. */
        fun capacityExhausted() = Outcome.Failure(
            ResultCode.CAPACITY_EXHAUSTED,
            retryAfterMillis = Random.nextLong(MIN_FULL_RETRY_AFTER_MILLIS, 2 * MIN_FULL_RETRY_AFTER_MILLIS),
        )
    }
}
