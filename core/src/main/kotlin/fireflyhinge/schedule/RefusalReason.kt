package fireflyhinge.schedule

import fireflyhinge.peer.PlaceReply

/** Reason for which a cell refuses a request. The constant's name is the `reason` of the reply. */
enum class RefusalReason {
    /** No slot is expected to become free before the request's deadline. */
    CAPACITY,

    /** The workspace's own queue is full. */
    QUEUE_FULL,

    /** The cell has no prefill or no decode replica. */
    NO_REPLICA,

    /** The requester withdrew the request before it was placed, or its ticket has expired. */
    WITHDRAWN,
    ;

    /** The reply with this reason. */
    fun reply(retryAfterMillis: Long): PlaceReply.Refused =
        PlaceReply.Refused(reason = name, retryAfterMillis = retryAfterMillis)
}
