package fireflyhinge.gateway.forward

import fireflyhinge.gateway.http.nowMillis
import kotlinx.coroutines.delay

/**
 * Finds a place at a decode replica before the prompt is read, because a prefill without a place is wasted. What other
 * VMs have sent is only known with a delay, so the replica itself confirms the place.
 */
internal class SlotReserver(private val routing: ReplicaRouting, private val calls: ReservationClient) {
    /**
     * A place at a replica that is not in [avoid]; waits until [untilMillis], if that is not 0, while all are full, and
     * longer while all are silent. Null if none was found. [resumed] says that the answer has begun.
     */
    suspend fun find(context: RequestContext, avoid: Set<String>, untilMillis: Long, resumed: Boolean): DecodeTarget? {
        val tokens = context.metadata.expectedKvTokens
        val silent = HashSet<String>()
        val silentUntil = nowMillis() + ReplicaTimeouts.HEALTHY_PAUSE_MILLIS
        var until = untilMillis
        while (true) {
            val state = routing.selector.selectWithCapacity(context.service, tokens, avoid + silent, resumed)
            when (val answer = state?.let { calls.reserve(it, tokens) }) {
                null -> {
                    if (nowMillis() + POLL_MILLIS > until) return null
                    delay(POLL_MILLIS)
                    silent.clear()
                }
                is Reservation.Granted -> return DecodeTarget(state, answer.id)
                Reservation.Unsupported -> return DecodeTarget(state, reservation = null)
                Reservation.Full -> {
                    state.full = true
                    until = untilMillis
                }
                is Reservation.NoResponse -> {
                    context.attemptLog += "place ${state.replica.id} ${answer.reason}"
                    state.recordNoResponse()
                    silent += state.replica.id
                    if (untilMillis > 0) until = maxOf(until, silentUntil)
                }
            }
        }
    }

    private companion object {
        /** Places become free some ten times a second at a replica's full load. */
        const val POLL_MILLIS = 50L
    }
}
