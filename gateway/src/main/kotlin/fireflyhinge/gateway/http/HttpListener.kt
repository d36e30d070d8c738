package fireflyhinge.gateway.http

import fireflyhinge.forward.CallerLimits
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * Listens on a port and serves the requests that arrive there.
 *
 * @param refusesEarly whether requests are refused while [memory] is left only for those that are being handled;
 * otherwise, only bodies for which there is no memory are.
 */
class HttpListener(
    private val io: IoLoop,
    private val address: InetSocketAddress,
    limits: () -> CallerLimits = { CallerLimits() },
    private val handler: RequestHandler,
    private val memory: HeldMemory = HeldMemory(io.loop),
    refusesEarly: Boolean = false,
) {
    private val accept: () -> Boolean = { !refusesEarly || memory.acceptRequest() }
    private val state =
        object : ListenerState {
            override val limits get() = limits()
            override val draining get() = this@HttpListener.draining
            override val accepting get() = this@HttpListener.accepting

            override fun acceptRequest() = accept()
        }

    private val connections = ConcurrentHashMap.newKeySet<CallerConnection>()
    private val bodies =
        MemoryLimit(memory, memory.limits.refuseAt, memory.limits.run { if (refusesEarly) refuseAt else total })
    private var server: Channel? = null

    /** Set while the process stops: responses then announce that their connection is closed. */
    @Volatile
    var draining = false

    @Volatile
    private var accepting = true

    /** Connections on which a request is arriving or being handled. */
    val inFlight: Int get() = connections.count { it.busy }

    /** Open connections. */
    val open: Int get() = connections.size

    /** The local port; valid after [start]. */
    val port: Int get() = (server!!.localAddress() as InetSocketAddress).port

    /** Opens the port. */
    fun start(): HttpListener {
        server =
            ServerBootstrap()
                .group(io.loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childHandler(Pipeline())
                .bind(address)
                .sync()
                .channel()
        io.loop.scheduleWithFixedDelay(::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS)
        return this
    }

    /** Closes the port, and each connection once no request is arriving or being handled on it. */
    fun stopAccepting() {
        accepting = false
        server?.close()
        connections.forEach { it.closeIfIdle() }
    }

    /** Cancels the requests that are being handled. Must be called on the event loop. */
    fun endRequests() = connections.forEach { it.job?.cancel() }

    /** Blocks until no request is in flight, at most until [untilMillis] on the monotonic clock. */
    fun awaitRequests(untilMillis: Long) {
        while (monotonicMillis() < untilMillis && inFlight > 0) Thread.sleep(POLL_MILLIS)
    }

    @Suppress("TooGenericExceptionCaught") // A scheduled task that throws is not run again.
    private fun sweep() {
        try {
            val limits = state.limits
            connections.forEach { it.checkTimeouts(limits) }
            memory.relieve()
        } catch (e: Throwable) {
            log.atError().setCause(e).log("failed to check the timeouts of caller connections")
        }
    }

    private inner class Pipeline : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val maxHeaderBytes = maxOf(state.limits.headerBytes, MIN_DECODER_HEADER_BYTES)
            val config =
                HttpDecoderConfig().setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES).setMaxHeaderSize(maxHeaderBytes)
            val connection = CallerConnection(io, channel, state, handler, bodies)
            connections += connection
            channel.closeFuture().addListener { connections -= connection }
            channel.pipeline().addLast(connection.partialHead, HttpServerCodec(config), connection)
        }
    }

    private companion object {
        val log: Logger = LoggerFactory.getLogger(HttpListener::class.java)
        const val BACKLOG = 512
        const val SWEEP_MILLIS = 500L
        const val POLL_MILLIS = 20L

        const val MAX_REQUEST_LINE_BYTES = 8_192

        /** Four times the default limit, so that the limit can be raised for open connections. */
        const val MIN_DECODER_HEADER_BYTES = 65_536

        /**
         * Bytes that the kernel holds for a caller that does not read, in addition to those that count. Without it, the
         * kernel takes up to 4 MB, and a VM cannot tell whether the caller reads.
         */
        const val SEND_BUFFER_BYTES = 64 * 1024
    }
}
