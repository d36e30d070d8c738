package fireflyhinge.forward

/** Result of adding a request to a [CapacityQueue]. */
sealed interface QueueEntryResult {
    /** The request waits; [place] is the number of requests that waited when it was added. */
    data class Waiting(val place: Int) : QueueEntryResult

    /** The request was added before and has an offer. */
    data class Offered(val offer: CapacityOffer) : QueueEntryResult

    /** The request would expire before its turn; its caller may return after [retryAfterMillis]. */
    data class Refused(val retryAfterMillis: Long) : QueueEntryResult

    /** The request has ended; the message that added it was late. */
    data object Ended : QueueEntryResult
}
