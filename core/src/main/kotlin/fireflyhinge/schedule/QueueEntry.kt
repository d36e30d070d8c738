package fireflyhinge.schedule

import fireflyhinge.peer.PlaceRequest

/**
 * A request that waits for a placement.
 *
 * @property deadline time after which it is refused.
 * @property askedAt time at which the asker was last heard from.
 */
internal class QueueEntry(val request: PlaceRequest, val deadline: Long, var askedAt: Long) {
    val id: String = request.ticketId()

    /** Tokens that the request may use, for fair ordering. */
    val cost: Double = request.cost()

    /** Retries go first in their workspace: their answers have begun. */
    val first: Boolean get() = request.attempt > 1
}

/** Upper bound of the tokens that the request uses. */
internal fun PlaceRequest.cost(): Double = (promptTokens + maxOutputTokens).toDouble()
