package fireflyhinge.schedule

import fireflyhinge.config.Priority
import fireflyhinge.peer.PlaceRequest

/**
 * A request that waits for a placement.
 *
 * @property limits times at which it becomes late and is refused.
 * @property lastRequestedAt time at which the asker was last heard from.
 */
internal class QueueEntry(val request: PlaceRequest, val limits: WaitLimits, var lastRequestedAt: Long) {
    val id: String = request.ticketId()

    /** Tokens that the request may use, for fair ordering. */
    val cost: Double = request.cost()

    /** Class in which it waits; only the queue changes it. */
    var queueClass: QueueClass =
        when {
            request.priority == Priority.BATCH -> QueueClass.BATCH
            limits.lateAt <= lastRequestedAt -> QueueClass.LATE
            else -> QueueClass.ON_TIME
        }

    /** Retries go first in their workspace: their answers have begun. */
    val first: Boolean get() = request.attempt > 1
}

/** Upper bound of the tokens that the request uses. */
internal fun PlaceRequest.cost(): Double = (promptTokens + maxOutputTokens).toDouble()
