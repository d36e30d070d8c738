package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.nowMillis
import kotlinx.coroutines.delay

/**
 * Finds a place at a decode replica before the prompt is read, because a prefill without a place is wasted. What other
 * VMs have sent is only known with a delay, so the replica itself confirms the place.
 */
internal class PlaceStep(private val pools: ReplicaPools, private val calls: ReplicaCalls) {
    /**
     * A place at a replica that is not in [avoid]; waits until [untilMillis] if all are full. Null if none was found.
     * [resumed] says that the answer has begun.
     */
    suspend fun find(attempt: Attempt, avoid: Set<String>, untilMillis: Long, resumed: Boolean): DecodePlace? {
        val tokens = attempt.facts.expectedMemory
        val tried = HashSet(avoid)
        while (true) {
            val state = pools.chooser.withRoom(attempt.service, tokens, tried, resumed)
            val place = state?.let { ask(attempt, it, tokens, tried) }
            if (place != null) return place
            if (state == null) {
                if (nowMillis() + POLL_MILLIS > untilMillis) return null
                delay(POLL_MILLIS)
            }
        }
    }

    private suspend fun ask(
        attempt: Attempt,
        state: ReplicaState,
        tokens: Int,
        tried: MutableSet<String>,
    ): DecodePlace? {
        val id = state.replica.id
        return when (val answer = calls.reserve(state, tokens)) {
            is Reservation.Granted -> DecodePlace(state, answer.id)
            Reservation.Unsupported -> DecodePlace(state, reservation = null)
            Reservation.Full -> {
                state.full = true
                null
            }
            is Reservation.NoAnswer -> {
                attempt.trail += "place $id ${answer.reason}"
                state.silent()
                tried += id
                null
            }
        }
    }

    private companion object {
        /** Places become free some ten times a second at a replica's full load. */
        const val POLL_MILLIS = 50L
    }
}
