package fireflyhinge.daemon.http

import org.apache.tomcat.util.net.NioEndpoint
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel

/**
 * Tomcat's endpoint with another end: connections that arrive while the listener closes are served. The original
 * closes or resets them, which cuts off requests that were sent just before the close.
 */
internal class DrainingEndpoint : NioEndpoint() {
    /** Connections that are open now. */
    fun openConnections(): Int = connections.size

    /** Called by the acceptor for a connection that it got after it was told to stop. */
    public override fun destroySocket(socket: SocketChannel) {
        val serve = isRunning && !isPaused && socket.isOpen
        if (!serve || !setSocketOptions(socket)) super.destroySocket(socket)
    }

    /** Accepts what waits in the kernel's queue, which the kernel would reset, and closes the listener then. */
    override fun doCloseServerSocket() {
        val listener = serverSocket as? ServerSocketChannel
        if (listener != null && listener.isOpen && isRunning) {
            listener.configureBlocking(false)
            generateSequence { listener.accept() }.forEach { destroySocket(it) }
        }
        super.doCloseServerSocket()
    }
}
