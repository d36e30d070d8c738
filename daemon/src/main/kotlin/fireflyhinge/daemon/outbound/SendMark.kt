package fireflyhinge.daemon.outbound

/**
 * Tells whether any byte of a request may have been sent.
 *
 * @property checkConnection whether a connection that the server has closed must be found before the request is sent.
 * @property permitted asked once the connection is open, just before the first byte is sent; if false nothing is sent.
 */
internal class SendMark(val checkConnection: Boolean, val permitted: () -> Boolean = { true }) {
    @Volatile var sent: Boolean = false

    /** The connection's socket, once there is one. */
    @Volatile var socket: AnswerSocket? = null
}
