package fireflyhinge.daemon.outbound

/**
 * Tells whether any byte of a request may have been sent.
 *
 * @property checkConnection whether a connection that the server has closed must be found before the request is sent.
 */
internal class SendMark(val checkConnection: Boolean) {
    @Volatile var sent: Boolean = false
}
