package fireflyhinge.peer

/** Result of a message to another daemon. */
sealed interface PeerResult<out T> {
    /** The peer answered with [value]. */
    data class Ok<T>(val value: T) : PeerResult<T>

    /** The peer's host refused the connection: no process listens there. Nothing was sent. */
    data object ConnectionRefused : PeerResult<Nothing>

    /** No connection could be opened in time, or the VM is not known. Nothing was sent. */
    data class Unreachable(val reason: String) : PeerResult<Nothing>

    /** The message was sent and no usable answer came; the peer may have acted on it. */
    data class Failed(val reason: String) : PeerResult<Nothing>
}
