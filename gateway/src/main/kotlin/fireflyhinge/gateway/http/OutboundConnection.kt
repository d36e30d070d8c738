package fireflyhinge.gateway.http

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.channels.Channel as Queue

/**
 * A connection to a server, used by one request at a time. Bytes that arrive while no request waits close it, because
 * they belong to no request.
 */
internal class OutboundConnection(
    private val channel: Channel,
    val address: String,
    private var idleLimitMillis: Long = UNSTATED_IDLE_MILLIS,
) {
    private sealed interface Item {
        class Head(val response: HttpResponse) : Item

        class Body(val bytes: ByteArray) : Item

        data object End : Item
    }

    private val inbox = Queue<Item>(Queue.UNLIMITED)
    private var busy = false
    private var keepAlive = true
    private var idleSince = System.nanoTime()

    /** Called once when the connection has closed. */
    var onClosed: () -> Unit = {}

    /** Whether the connection may carry another request that must not be lost. */
    val reusable: Boolean
        get() = channel.isActive && TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSince) < idleLimitMillis

    init {
        channel.pipeline().addLast(Reader())
        channel.closeFuture().addListener { onClosed() }
    }

    /** Writes [request]. */
    suspend fun send(request: FullHttpRequest) {
        busy = true
        channel.writeAndFlush(request).done()
    }

    /** The head of the next answer; interim answers are passed over. Throws [IOException] if none comes. */
    suspend fun head(): HttpResponse {
        while (true) {
            val item = next()
            if (item is Item.Head && item.response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                keepAlive = HttpUtil.isKeepAlive(item.response)
                noteIdleLimit(item.response)
                return item.response
            }
        }
    }

    /** The next bytes of the answer's body, or null after its end. Throws [IOException] if the answer breaks off. */
    suspend fun body(): ByteArray? =
        when (val item = next()) {
            is Item.Body -> item.bytes
            Item.End -> null
            is Item.Head -> throw IOException("an answer began inside another one")
        }

    /** Ends the use of the connection after a whole answer. Returns whether it can be used again. */
    fun release(): Boolean {
        busy = false
        idleSince = System.nanoTime()
        val clean = keepAlive && channel.isActive && inbox.tryReceive().getOrNull() == null
        if (!clean) close()
        return clean
    }

    /** Closes the connection, which ends work at the server. */
    fun close() {
        channel.close()
    }

    private suspend fun next(): Item =
        try {
            inbox.receive()
        } catch (e: ClosedReceiveChannelException) {
            throw IOException("the connection was closed", e)
        }

    private fun noteIdleLimit(response: HttpResponse) {
        val stated = response.headers().get(KEEP_ALIVE)?.substringAfter("timeout=", "")?.takeWhile { it.isDigit() }
        val seconds = stated?.toLongOrNull() ?: return
        idleLimitMillis = seconds * MILLIS_PER_SECOND - IDLE_MARGIN_MILLIS
    }

    private inner class Reader : SimpleChannelInboundHandler<HttpObject>() {
        private var skippingInterim = false

        override fun channelRead0(ctx: ChannelHandlerContext, message: HttpObject) {
            if (!busy || message.decoderResult().isFailure) {
                logUnexpected(message)
                ctx.close()
                inbox.close(IOException("the server sent bytes that are no answer"))
                return
            }
            if (message is HttpResponse) {
                skippingInterim = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
                if (!skippingInterim) inbox.trySend(Item.Head(message))
            }
            if (message is HttpContent && !skippingInterim) content(message)
        }

        private fun logUnexpected(message: HttpObject) {
            log
                .atInfo()
                .addKeyValue("server", address)
                .addKeyValue("busy", busy)
                .addKeyValue("message", (message as? HttpResponse)?.let { "${it.protocolVersion()} ${it.status()}" })
                .addKeyValue("reason", message.decoderResult().cause()?.message)
                .log("unexpected bytes from a server; the connection is closed")
        }

        private fun content(message: HttpContent) {
            val size = message.content().readableBytes()
            if (size > 0) inbox.trySend(Item.Body(ByteArray(size).also { message.content().readBytes(it) }))
            if (message is LastHttpContent) inbox.trySend(Item.End)
        }

        // A reset comes before the decoder ends an answer without a length, so such an answer is not taken for whole.
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            inbox.close(IOException("the connection broke: ${cause.message}"))
            ctx.close()
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            inbox.close()
        }
    }

    companion object {
        private val log = LoggerFactory.getLogger(OutboundConnection::class.java)
        private val KEEP_ALIVE: String = HttpHeaderNames.KEEP_ALIVE.toString()
        private const val MILLIS_PER_SECOND = 1000L

        /** A request needs up to a round trip between regions to arrive; servers state whole seconds. */
        private const val IDLE_MARGIN_MILLIS = 500L

        /** Servers that state no limit close idle connections after some seconds. */
        const val UNSTATED_IDLE_MILLIS = 2_000L
    }
}
