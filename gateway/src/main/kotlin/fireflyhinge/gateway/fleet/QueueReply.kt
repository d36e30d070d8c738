package fireflyhinge.gateway.fleet

/** The owner's reply to a [QueueCall]. */
internal sealed interface QueueReply {
    /** The request may reserve capacity at [replica]. */
    data class Offer(val number: Long, val replica: String) : QueueReply

    /** The request waits behind [place] others; its VM calls again. */
    data class Waiting(val place: Int) : QueueReply

    /** The request would not get capacity in time. */
    data class Refused(val retryAfterMillis: Long) : QueueReply

    /** The owner takes the request for one that has ended. */
    data object Ended : QueueReply
}
