package fireflyhinge.gateway.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.ConnectException
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap

/** Pool of connections to servers, which are opened on demand and reused. Thread-safe. */
internal class ConnectionPool(
    private val io: IoLoop,
    private val connectTimeoutMillis: Int = CONNECT_TIMEOUT_MILLIS,
    private val defaultIdleLimitMillis: Long = OutboundConnection.DEFAULT_IDLE_LIMIT_MILLIS,
    held: HeldMemory = HeldMemory(io.loop),
) {
    private class Server {
        val idle = ArrayDeque<OutboundConnection>()

        fun takeIdle(requestId: String?, exclude: Set<OutboundConnection>): OutboundConnection? {
            val index = idle.indexOfLast { it !in exclude && (requestId == null || requestId !in it.recentRequests) }
            return if (index < 0) null else idle.removeAt(index)
        }
    }

    private val memory = MemoryLimit(held, held.limits.largeResponses)
    private val servers = ConcurrentHashMap<String, Server>()

    /**
     * Returns the most recently used idle connection to [address], or a new one. Throws [ConnectFailedException].
     *
     * A connection that carried request [requestId] is not used, since a second response to the first attempt could not
     * be told from the response to the retry. A connection remembers only its last requests, so [exclude] lists those
     * on which the request is known to have been sent.
     */
    suspend fun acquire(
        address: String,
        requestId: String? = null,
        exclude: Set<OutboundConnection> = emptySet(),
    ): OutboundConnection {
        val server = servers.computeIfAbsent(address) { Server() }
        while (true) {
            val idle = synchronized(server) { server.takeIdle(requestId, exclude) } ?: break
            if (idle.reusable) return idle
            idle.close()
        }
        return connect(address, server)
    }

    /** Whether a process listens at [address]. Throws [ConnectFailedException] if that cannot be told. */
    suspend fun isListening(address: String): Boolean =
        try {
            release(connect(address, servers.computeIfAbsent(address) { Server() }))
            true
        } catch (e: ConnectFailedException) {
            if (!e.refused) throw e
            false
        }

    /** Returns [connection] to the pool after a complete response. */
    fun release(connection: OutboundConnection) {
        if (!connection.release()) return
        val server = servers.computeIfAbsent(connection.address) { Server() }
        synchronized(server) { server.idle.addLast(connection) }
    }

    private suspend fun connect(address: String, server: Server): OutboundConnection {
        val target = socketAddress(address)
        val future =
            Bootstrap()
                .group(io.loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .also { boot -> SocketOptions.outbound.forEach { (option, value) -> boot.set(option, value) } }
                .handler(Codec())
                .connect(target)
        var connected = false
        try {
            future.awaitCompletion()
            connected = true
        } catch (e: java.io.IOException) {
            val cause = future.cause() ?: e
            val refused = cause is ConnectException && cause !is Timeout
            throw ConnectFailedException("$address: ${cause.message}", refused)
        } finally {
            // A cancelled caller does not receive the channel, even if it was established meanwhile, so close it here.
            if (!connected) future.channel().close()
        }
        return track(OutboundConnection(future.channel(), address, memory, defaultIdleLimitMillis), server)
    }

    private fun socketAddress(address: String): InetSocketAddress =
        try {
            InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
        } catch (e: IllegalArgumentException) {
            throw ConnectFailedException("$address is no address: ${e.message}", refused = false).initCause(e)
        }

    private fun track(connection: OutboundConnection, server: Server): OutboundConnection {
        connection.onClosed = {
            synchronized(server) { server.idle.remove(connection) }
        }
        return connection
    }

    @Suppress("UNCHECKED_CAST")
    private fun Bootstrap.set(option: ChannelOption<*>, value: Any) = option(option as ChannelOption<Any>, value)

    private class Codec : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(ResponseDecoder(), RequestEncoder())
        }
    }

    private companion object {
        /** Ten round trips between regions, so that an unresponsive server costs a request a third of its objective. */
        const val CONNECT_TIMEOUT_MILLIS = 350
    }
}

private typealias Timeout = io.netty.channel.ConnectTimeoutException
