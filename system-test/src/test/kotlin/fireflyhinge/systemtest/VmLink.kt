package fireflyhinge.systemtest

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Proxy
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/**
 * The outgoing side of a VM's network, as a SOCKS 5 proxy (RFC 1928) through which its daemon opens all connections.
 * Bytes to and from a blocked port are held, as in a network that drops packets, and new connections to it hang.
 */
internal class VmLink : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val open = ConcurrentHashMap.newKeySet<Relay>()

    /** Tells which ports cannot be reached. */
    @Volatile
    var blocked: (port: Int) -> Boolean = { false }

    /** Options that make a JVM use this link. The empty exception list includes loopback addresses. */
    val jvmArguments: List<String> =
        listOf(
            "-DsocksProxyHost=127.0.0.1",
            "-DsocksProxyPort=${listener.localPort}",
            "-DsocksNonProxyHosts=",
        )

    init {
        thread(isDaemon = true, name = "vm-link") {
            ignoringClosed { while (true) listener.accept().let { thread(isDaemon = true) { serve(it) } } }
        }
    }

    /** Makes the open connections to [ports] silent for good, while new ones work; returns how many there were. */
    fun silenceOpen(ports: Set<Int>): Int = open.filter { it.port in ports }.onEach { it.silent = true }.size

    override fun close() {
        listener.close()
        open.forEach { it.close() }
    }

    private fun serve(socket: Socket) =
        ignoringClosed {
            socket.use { caller ->
                val port = SocksHandshake.portAskedFor(caller)
                while (blocked(port)) Thread.sleep(Relay.POLL_MILLIS)
                Socket(Proxy.NO_PROXY).use { target ->
                    target.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                    SocksHandshake.accept(caller)
                    val relay = Relay(caller, target, port) { blocked(port) }
                    open += relay
                    relay.run()
                    open -= relay
                }
            }
        }

    private fun ignoringClosed(action: () -> Unit) =
        try {
            action()
        } catch (_: IOException) {
            // The end of a connection is passed on by closing the other side.
        }

    private companion object {
        const val BACKLOG = 200
    }
}
