package fireflyhinge.daemon.outbound

/** How far a call got. */
internal sealed interface Exchange {
    /** The whole answer arrived. */
    data class Answered(val reply: HttpReply) : Exchange

    /** No byte was sent; [refused] if the host refused the connection. */
    data class NotSent(val reason: String, val refused: Boolean = false) : Exchange

    /** The request was sent, at least in part, and no whole answer came. */
    data class NoAnswer(val reason: String) : Exchange

    /** The calling thread was interrupted. */
    data object Interrupted : Exchange
}
