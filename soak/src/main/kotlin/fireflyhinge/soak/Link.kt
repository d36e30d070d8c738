package fireflyhinge.soak

import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** A proxy on loopback in front of [target] whose [mode] may change at any time. Silence holds bytes back, as a
 * network does whose sender sends lost bytes again. */
internal class Link(private val target: Int) : AutoCloseable {
    private val log = LoggerFactory.getLogger(javaClass)

    @Volatile
    private var server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val port = server.localPort
    private val open = ConcurrentHashMap.newKeySet<Socket>()

    @Volatile
    private var mode = LinkMode.SOUND

    /** `host:port` at which the link accepts. */
    val address: String get() = "127.0.0.1:$port"

    init {
        thread(isDaemon = true, name = "link") { accept() }
    }

    /** Resets all connections and refuses new ones for [millis], as if the process behind it had crashed. */
    fun crash(millis: Long) {
        close()
        Thread.sleep(millis)
        server = ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress())
        thread(isDaemon = true, name = "link") { accept() }
    }

    fun set(next: LinkMode) {
        mode = next
        if (next == LinkMode.RESET) open.forEach(::reset)
    }

    override fun close() {
        server.close()
        open.forEach(::reset)
    }

    private fun accept() {
        try {
            while (true) {
                val near = server.accept()
                if (mode == LinkMode.RESET) reset(near) else thread(isDaemon = true, name = "link-up") { join(near) }
            }
        } catch (e: IOException) {
            log.debug("link {} ends: {}", address, e.message)
        }
    }

    private fun join(near: Socket) {
        val far =
            try {
                Socket(InetAddress.getLoopbackAddress(), target)
            } catch (e: IOException) {
                log.debug("nobody behind link {}: {}", address, e.message)
                return reset(near)
            }
        listOf(near, far).forEach {
            it.tcpNoDelay = true
            open += it
        }
        val back = thread(isDaemon = true, name = "link-down") { pump(far, near) { mode.holdsDown } }
        pump(near, far) { mode.holdsUp }
        back.join()
        listOf(near, far).forEach {
            open -= it
            it.close()
        }
    }

    /** Passes bytes on until the sender ends, which the receiver sees as an end, or as a reset if it was one. */
    private fun pump(from: Socket, to: Socket, held: () -> Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (mode.delayMillis > 0) Thread.sleep(mode.delayMillis)
                while (held() && !to.isClosed) Thread.sleep(POLL_MILLIS)
                if (count < 0) return to.shutdownOutput()
                to.getOutputStream().write(buffer, 0, count)
            }
        } catch (e: IOException) {
            log.trace("connection over {} breaks: {}", address, e.message)
            reset(from)
            reset(to)
        }
    }

    private fun reset(socket: Socket) {
        try {
            socket.setSoLinger(true, 0)
        } catch (e: IOException) {
            log.trace("already closed: {}", e.message)
        }
        socket.close()
    }

    private companion object {
        const val BACKLOG = 200
        const val BUFFER_BYTES = 8_192
        const val POLL_MILLIS = 10L
    }
}
