package fireflyhinge.gateway.forward

/** How a request's wait in a queue ended. */
internal sealed interface QueueOutcome {
    /** It got capacity. */
    data class Taken(val target: DecodeTarget) : QueueOutcome

    /** It gets none in time; its caller may return after [retryAfterMillis]. */
    data class Refused(val retryAfterMillis: Long?) : QueueOutcome

    /** The queue cannot be used. */
    data object Unavailable : QueueOutcome
}
