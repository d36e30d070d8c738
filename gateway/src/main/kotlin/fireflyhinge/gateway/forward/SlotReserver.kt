package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.monotonicMillis
import kotlinx.coroutines.delay

/**
 * Reserves a slot at a decode replica before the prefill, because a prefill without a slot is wasted. The load that
 * other VMs put on a replica is known only with a delay, so the replica itself confirms the reservation.
 */
internal class SlotReserver(
    private val routing: ReplicaRouting,
    private val reservations: ReservationClient,
    queue: (suspend (ReplicaState, Int) -> Reservation) -> QueueWaiter,
) {
    private val queue = queue(::reserve)

    /**
     * Reserves a slot at a replica that is not in [excluded], or returns null. While all replicas are full it waits
     * until [untilMillis], a monotonic time, or not at all if that is 0 or if all replicas want no requests until then;
     * if replicas do not respond, the wait lasts at least [ReplicaTimeouts.HEALTHY_PAUSE_MILLIS]. In a large fleet it
     * waits in the queue of the fleet, for longer if need be. [resumed] is true if the response has begun.
     */
    suspend fun reserve(
        context: RequestContext,
        excluded: Set<String>,
        untilMillis: Long,
        resumed: Boolean,
    ): DecodeTarget? {
        // A response that has begun cannot wait for its turn, and a queue covers the replicas of all regions and
        // versions.
        val anyReplica = context.admission.homeRegions == null && context.origin == null
        val mayQueue = untilMillis > 0 && !resumed && queue.enabled && anyReplica
        if (mayQueue) {
            val direct = if (queue.contended(context.service)) null else reserveAtOnce(context, excluded)
            if (direct != null) return direct
            val outcome = if (backingOff(context)) QueueOutcome.Unavailable else wait(context, excluded, untilMillis)
            if (outcome is QueueOutcome.Taken) return outcome.target
            if (outcome is QueueOutcome.Refused) return null
        }
        return poll(context, excluded, untilMillis, resumed)
    }

    /** Reports that a request of this VM ended at [state]'s replica. */
    fun released(state: ReplicaState) = queue.released(state)

    private fun backingOff(context: RequestContext) =
        routing.table.backoffMillis(context.service, ReplicaStage.DECODE) != null

    private suspend fun wait(context: RequestContext, excluded: Set<String>, untilMillis: Long): QueueOutcome {
        val outcome = queue.await(context, excluded, untilMillis)
        if (outcome is QueueOutcome.Refused) context.retryAfterMillis = outcome.retryAfterMillis
        return outcome
    }

    /** Asks a few replicas; more refusals mean that requests wait. */
    private suspend fun reserveAtOnce(context: RequestContext, excluded: Set<String>): DecodeTarget? {
        val asked = HashSet(excluded)
        repeat(DIRECT_ATTEMPTS) {
            val tokens = context.metadata.expectedKvTokens
            val state = routing.selector.selectWithCapacity(context.service, tokens, asked) ?: return null
            when (val response = reserve(state, tokens)) {
                is Reservation.Granted -> return DecodeTarget(state, response.id)
                Reservation.Unsupported -> return DecodeTarget(state, reservation = null)
                Reservation.Full -> state.full = true
                is Reservation.NoResponse -> noResponse(context, state, response)
            }
            asked += state.replica.id
        }
        return null
    }

    private suspend fun poll(
        context: RequestContext,
        excluded: Set<String>,
        untilMillis: Long,
        resumed: Boolean,
    ): DecodeTarget? {
        val tokens = context.metadata.expectedKvTokens
        val filter = routing.filter(context)
        val unresponsive = HashSet<String>()
        val unresponsiveUntil = monotonicMillis() + ReplicaTimeouts.HEALTHY_PAUSE_MILLIS
        var until = untilMillis
        while (true) {
            val avoid = excluded + unresponsive
            val state = routing.selector.selectWithCapacity(context.service, tokens, avoid, resumed, filter)
            when (val response = state?.let { reserve(it, tokens) }) {
                null -> {
                    val pause = routing.table.backoffMillis(context.service, ReplicaStage.DECODE, filter) ?: 0
                    if (monotonicMillis() + maxOf(pause, POLL_MILLIS) > until) return null
                    delay(POLL_MILLIS)
                    unresponsive.clear()
                }
                is Reservation.Granted -> return DecodeTarget(state, response.id)
                Reservation.Unsupported -> return DecodeTarget(state, reservation = null)
                Reservation.Full -> {
                    state.full = true
                    until = untilMillis
                }
                is Reservation.NoResponse -> {
                    noResponse(context, state, response)
                    unresponsive += state.replica.id
                    if (untilMillis > 0) until = maxOf(until, unresponsiveUntil)
                }
            }
        }
    }

    private fun noResponse(context: RequestContext, state: ReplicaState, response: Reservation.NoResponse) {
        context.attemptLog += "reserve ${state.replica.id} ${response.reason}"
        state.recordNoResponse()
    }

    private suspend fun reserve(state: ReplicaState, tokens: Int): Reservation =
        reservations.reserve(state, tokens, RESPONSE_MILLIS + 2 * routing.selector.roundTripMillis(state))

    private companion object {
        /**
         * Replicas answer reservations at once. The path to them comes on top: a limit shorter than the path would take
         * every replica of another region for unresponsive.
         */
        const val RESPONSE_MILLIS = 120L

        /** At full load, a replica frees about ten slots per second. */
        const val POLL_MILLIS = 50L

        /** In a simulated burst, more attempts take slots from requests that wait, fewer cause calls in vain. */
        const val DIRECT_ATTEMPTS = 2
    }
}
