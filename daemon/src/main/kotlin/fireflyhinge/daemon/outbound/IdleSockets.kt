package fireflyhinge.daemon.outbound

import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException

/**
 * Whether the peer has closed this idle connection, or sent bytes that belong to no request. Takes 1 ms if it has not.
 * OkHttp checks this only for connections that were idle for 10 s.
 */
internal fun Socket.isClosedByPeer(): Boolean {
    val timeout = soTimeout
    return try {
        soTimeout = 1
        getInputStream().read()
        true
    } catch (_: SocketTimeoutException) {
        false
    } catch (_: IOException) {
        // The connection was reset.
        true
    } finally {
        if (!isClosed) soTimeout = timeout
    }
}
