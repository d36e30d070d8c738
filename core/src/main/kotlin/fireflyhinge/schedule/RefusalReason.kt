package fireflyhinge.schedule

import fireflyhinge.peer.PlaceReply

/** Why a cell refuses a request; the name is the `reason` of the reply. */
enum class RefusalReason {
    /** No slot becomes free before the request's limit. */
    CAPACITY,

    /** The workspace's own queue is full. */
    QUEUE_FULL,

    /** The cell has no prefill or no decode replica. */
    NO_REPLICA,

    /** The asker released the request before it was placed, or its ticket has expired. */
    WITHDRAWN,
    ;

    /** The answer that states this reason. */
    fun reply(retryAfterMillis: Long): PlaceReply.Refused =
        PlaceReply.Refused(reason = name, retryAfterMillis = retryAfterMillis)
}
