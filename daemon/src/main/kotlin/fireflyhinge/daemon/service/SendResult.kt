package fireflyhinge.daemon.service

/** What became of a request to an upstream. */
sealed interface SendResult {
    /** The upstream answered in full. */
    class Answered(val answer: ServiceAnswer) : SendResult

    /** No byte of the request was sent. */
    data class NotSent(val reason: String) : SendResult

    /** Bytes were sent and no whole answer came, in time or at all; the upstream may have run the call. */
    data class Lost(val reason: String, val timedOut: Boolean) : SendResult

    /** The answer is larger than the limit; the upstream ran the call. */
    data object TooLarge : SendResult
}
