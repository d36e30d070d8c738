package fireflyhinge.peer

/** Result of a message to another daemon. */
sealed interface PeerResult<out T> {
    /** The peer replied with [value]. */
    data class Ok<T>(val value: T) : PeerResult<T>

    /** The peer's VM refused the connection: no process listens there. Nothing was sent. */
    data object ConnectionRefused : PeerResult<Nothing>

    /** No connection could be opened in time, or the VM is unknown. Nothing was sent. */
    data class Unreachable(val reason: String) : PeerResult<Nothing>

    /** The message was sent and no valid reply arrived; the peer may have processed it. */
    data class Failed(val reason: String) : PeerResult<Nothing>
}
