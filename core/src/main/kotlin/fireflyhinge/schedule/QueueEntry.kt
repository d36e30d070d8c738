package fireflyhinge.schedule

import fireflyhinge.config.Priority
import fireflyhinge.peer.PlaceRequest

/**
 * A queued request.
 *
 * @property limits times at which it becomes late and is refused.
 * @property lastRequestedAt time at which the requester last sent or repeated the request.
 */
internal class QueueEntry(val request: PlaceRequest, val limits: WaitLimits, var lastRequestedAt: Long) {
    val id: String = request.ticketId()

    /** Tokens charged to the workspace for fair ordering. */
    val cost: Double = request.cost()

    /** Class in which the request is queued; changed only by the queue. */
    var queueClass: QueueClass =
        when {
            request.priority == Priority.BATCH -> QueueClass.BATCH
            limits.lateAt <= lastRequestedAt -> QueueClass.LATE
            else -> QueueClass.ON_TIME
        }

    /** Retries precede other requests of their workspace, because their responses may already have started. */
    val isRetry: Boolean get() = request.attempt > 1
}

/** Upper bound of the tokens that the request can use. */
internal fun PlaceRequest.cost(): Double = (promptTokens + maxOutputTokens).toDouble()
