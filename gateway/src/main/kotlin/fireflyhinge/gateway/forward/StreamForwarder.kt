package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.ResponseWriter
import fireflyhinge.gateway.http.monotonicMillis

/** Forwards model requests: a prefill replica reads the prompt, a decode replica generates the response. */
internal class StreamForwarder(
    private val routing: ReplicaRouting,
    private val sender: ReplicaSender,
    private val reservations: ReservationClient,
    private val crashes: CrashDetector,
    private val slots: SlotReserver,
    private val versions: StreamVersionGuard,
) {
    private val prefillDispatcher = PrefillDispatcher(routing, sender, crashes)

    /** Prefills, decodes, and forwards the events to [response]. A resumable stream that breaks continues elsewhere. */
    suspend fun run(context: RequestContext, response: ResponseWriter): ForwardResult {
        versions.refusal(context)?.let { return ForwardResult.Failed(it) }
        routing.retries.recordRequest(context.service)
        val attempts = DecodeAttempts(context.metadata.lastEvent)
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
            return ForwardResult.Failed(routing.withKnownRetryAfter(failure, context, stages))
        } finally {
            discard(context, attempts)
        }
    }

    private suspend fun next(
        context: RequestContext,
        attempts: DecodeAttempts,
        slotDeadlineMillis: Long,
        response: ResponseWriter,
    ): DecodeTarget? {
        if (versions.versionGone(context)) {
            context.attemptLog += "no replica of the version that began the stream"
            return null
        }
        if (attempts.arrived && !routing.retries.tryAcquire(context.service)) {
            context.attemptLog += "no retry budget left"
            return null
        }
        if (routing.evacuationRefusal(context, ReplicaStage.DECODE) != null) {
            context.attemptLog += "all decode replicas are evacuated"
            return null
        }
        // Callers wait longer for an interrupted stream to resume than for a response to begin.
        val until = if (response.started) monotonicMillis() + RESUME_SLOT_WAIT_MILLIS else slotDeadlineMillis
        val target =
            routing.cold.claimed(until, ::releaseReservation) {
                // A continued stream may use memory that is reserved from new ones, also at another VM.
                slots.reserve(context, attempts.excluded, until, resumed = response.started || context.origin != null)
            }
        val reachable = routing.filter(context)::allows
        if (target == null && !routing.cold.blocks(context, ReplicaStage.DECODE, attempts.excluded, reachable)) {
            context.attemptLog += "no decode slot found"
        }
        context.retryAfterMillis?.let { attempts.refusedByQueue(it) }
        return target
    }

    /**
     * Prepares another replica for a request whose replica is unresponsive: the slot, the KV cache and a retry from the
     * budget. The current run is ended only when the other replica has taken the request.
     */
    private inner class Failover(
        private val context: RequestContext,
        private val attempts: DecodeAttempts,
        private val response: ResponseWriter,
    ) : FailoverTarget {
        override suspend fun prepare(): Boolean {
            if (context.barred || !attempts.order.allNumbered) return false
            if (!attempts.mayResume(context, running = 1)) return false
            if (!routing.retries.tryAcquire(context.service)) return false
            try {
                // untilMillis = 0 means not to wait for a slot.
                val target =
                    routing.cold.claimed(untilMillis = 0, ::releaseReservation) {
                        slots.reserve(context, attempts.excluded, untilMillis = 0, resumed = response.started)
                    }
                attempts.failover = target?.let { prefill(it) }
            } finally {
                if (attempts.failover == null) routing.retries.release(context.service)
            }
            return attempts.failover != null
        }

        private suspend fun prefill(target: DecodeTarget): PreparedRun? {
            var prepared: PreparedRun? = null
            try {
                val retry = attempts.prefillCount++ > 0
                val prefill = prefillDispatcher.run(context, target.state.replica.failureDomain, retry)
                val cache = (prefill as? PrefillResult.Completed)?.cache
                val usable = cache != null || mayPrefillLocally(context, target.state, prefill)
                if (usable) prepared = PreparedRun(target, cache)
                return prepared
            } finally {
                if (prepared == null) releaseReservation(target)
            }
        }

        override suspend fun start(): Boolean {
            val prepared = attempts.failover ?: return false
            val state = prepared.target.state
            val result = send(prepared)
            val expired = result is DecodeStepResult.CacheUnavailable && routing.table.usable(state)
            if (!expired || !routing.retries.tryAcquire(context.service)) return result == null
            // The KV cache has probably expired: prefill again for the same replica.
            discard()
            val again = prefill(DecodeTarget(state, reservation = null))
            attempts.failover = again
            if (again == null) routing.retries.release(context.service)
            return again != null && send(again) == null
        }

        /** Sends the request; returns null if the replica has taken it, and otherwise what its refusal means. */
        private suspend fun send(prepared: PreparedRun): DecodeStepResult? {
            val state = prepared.target.state
            val accounting = DecodeAccounting(context, attempts, response)
            if (accounting.obstacle(state) != null) return DecodeStepResult.NotRun
            attempts.excluded += state.replica.id
            val session = session(context, attempts, response, running = 2)
            prepared.sent = true
            context.recordSend()
            var outcome: DecodeOutcome? = DecodeOutcome.Abandoned
            try {
                outcome = session.open(state, options(context, attempts, prepared.target, prepared.cache))
            } finally {
                if (outcome == DecodeOutcome.Abandoned) accounting.settle(state, DecodeOutcome.Abandoned)
            }
            if (outcome != null) return accounting.settle(state, outcome, withCache = prepared.cache != null)
            prepared.session = session
            return null
        }

        override fun discard() = discard(context, attempts)
    }

    private fun discard(context: RequestContext, attempts: DecodeAttempts) {
        val unused = attempts.failover ?: return
        attempts.failover = null
        unused.session?.close()
        unused.cache?.let(reservations::release)
        releaseReservation(unused.target)
        if (!unused.sent) routing.retries.release(context.service)
    }

    private suspend fun prefillAndDecode(
        context: RequestContext,
        attempts: DecodeAttempts,
        target: DecodeTarget,
        prepared: PreparedRun?,
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
        attempts: DecodeAttempts,
        target: DecodeTarget,
        prepared: PreparedRun?,
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
                    attempts.lastFailure = DecodeAttempts.capacityExhausted()
                    return DecodeStepResult.NotRun
                }
            }
            reservationUnused = false
            return decode(context, attempts, prepared ?: PreparedRun(target, cache), response)
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
        attempts: DecodeAttempts,
        prepared: PreparedRun,
        response: ResponseWriter,
    ): DecodeStepResult {
        val target = prepared.target
        val state = target.state
        val begun = prepared.session
        val accounting = DecodeAccounting(context, attempts, response)
        val obstacle = if (begun == null) accounting.obstacle(state) else null
        if (obstacle != null) {
            context.attemptLog += "decode ${state.replica.id} not sent, $obstacle"
            attempts.undelivered++
            releaseReservation(target)
            return DecodeStepResult.NotRun
        }
        if (begun == null) context.recordSend()
        val mayRetry = attempts.mayResume(context, running = 1)
        val session = begun ?: session(context, attempts, response, running = 1)
        val outcome =
            try {
                session.run(state, options(context, attempts, target, prepared.cache))
            } finally {
                slots.released(state)
            }
        return accounting.settle(state, outcome, withCache = prepared.cache != null, mayRetry = mayRetry)
    }

    /** Creates the last of [running] concurrent runs. */
    private fun session(context: RequestContext, attempts: DecodeAttempts, response: ResponseWriter, running: Int) =
        DecodeSession(
            sender,
            context,
            attempts.order,
            StreamOutput(context, response, sender, versions),
            LivenessWatch(
                attempts.order,
                if (attempts.mayResume(context, running)) Failover(context, attempts, response) else null,
            ),
            crashes,
        )

    private fun options(
        context: RequestContext,
        attempts: DecodeAttempts,
        target: DecodeTarget,
        cache: KvCacheLocation?,
    ) = ReplicaRequestOptions(
        replicaId = target.state.replica.id,
        workspace = context.admission.workspace?.name,
        remainingMillis = context.remainingMillis,
        cache = cache,
        reservation = target.reservation,
        lastEvent = attempts.order.lastNumber,
    )

    private companion object {
        /** Load of a decode replica that runs about two requests. */
        const val IDLE_LOAD = 0.25

        /** Callers disconnect after 2 s without an event; another prefill takes about 0.3 s of that. */
        const val RESUME_SLOT_WAIT_MILLIS = 1_200L

        /** Part of the latency objective that a request waits for a slot; the rest is enough for the prefill. */
        const val SLOT_WAIT_PERCENT = 80
        const val PERCENT = 100
    }
}
