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
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.channels.Channel as Queue

/**
 * A connection to a server, used by one request at a time. It hands out the answer to that request only: late answers
 * to earlier requests are passed over, and bytes that answer no request close it.
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

    private val decoder = channel.pipeline().get(AnswerDecoder::class.java)
    private val inbox = Queue<Item>(Queue.UNLIMITED)
    private val carried = ArrayDeque<String>()
    private var matcher: AnswerMatcher = { AnswerMatch.UNIDENTIFIED }
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

    /** Writes [request], whose id is [requestId] if it has one. [answers] tells which answer is its own. */
    suspend fun send(request: FullHttpRequest, requestId: String? = null, answers: AnswerMatcher) {
        matcher = answers
        requestId?.let(::carry)
        decoder.expect(request.method())
        channel.writeAndFlush(request).done()
    }

    /** Whether request [requestId] was sent on this connection. */
    fun hasCarried(requestId: String): Boolean = requestId in carried

    private fun carry(requestId: String) {
        carried += requestId
        if (carried.size > MOST_REMEMBERED) carried.removeFirst()
    }

    /** The head of the answer. Throws [IOException] if none comes. */
    suspend fun head(): HttpResponse =
        when (val item = next()) {
            is Item.Head -> item.response
            else -> throw IOException("an answer began without a head")
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
        idleSince = System.nanoTime()
        val clean = keepAlive && channel.isActive && inbox.tryReceive().getOrNull() == null
        if (!clean) close()
        return clean
    }

    /** Closes the connection, which ends work at the server. An answer without a length is not whole then. */
    fun close() {
        inbox.close(IOException("the connection was closed by this VM"))
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
        private var passingOver = false

        override fun channelRead0(ctx: ChannelHandlerContext, message: HttpObject) {
            val fault = message.decoderResult().cause()
            if (fault != null) return breakOff(ctx, fault.message.orEmpty())
            if (message is HttpResponse && !begin(ctx, message)) return
            if (message is HttpContent && !passingOver) content(message)
        }

        /** Whether the connection is still good after [head]. */
        private fun begin(ctx: ChannelHandlerContext, head: HttpResponse): Boolean {
            passingOver = true
            if (head.protocolVersion() !in VERSIONS) {
                breakOff(ctx, "another protocol: ${head.protocolVersion()}")
                return false
            }
            if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) return true
            when (matcher(head)) {
                AnswerMatch.OWN -> take(head)
                AnswerMatch.EARLIER -> log.atInfo().addKeyValue("server", address).log("passed over a stray answer")
                AnswerMatch.UNIDENTIFIED -> {
                    breakOff(ctx, "an answer that names no request: ${head.status()} ${head.headers().names()}")
                    return false
                }
            }
            return true
        }

        private fun take(head: HttpResponse) {
            passingOver = false
            keepAlive = HttpUtil.isKeepAlive(head)
            noteIdleLimit(head)
            inbox.trySend(Item.Head(head))
        }

        private fun content(message: HttpContent) {
            val size = message.content().readableBytes()
            if (size > 0) inbox.trySend(Item.Body(ByteArray(size).also { message.content().readBytes(it) }))
            if (message is LastHttpContent) {
                decoder.ended()
                inbox.trySend(Item.End)
            }
        }

        private fun breakOff(ctx: ChannelHandlerContext, reason: String) {
            log
                .atInfo()
                .addKeyValue("server", address)
                .addKeyValue("reason", reason)
                .log("unexpected bytes from a server; the connection is closed")
            inbox.close(IOException("the server sent bytes that are no answer"))
            ctx.close()
        }

        override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
            if (event is UnexpectedBytes) breakOff(ctx, event.reason) else super.userEventTriggered(ctx, event)
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
        private val VERSIONS = setOf(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1)
        private const val MILLIS_PER_SECOND = 1000L

        /** Requests whose second answers may still come; servers answer twice at the next request at the earliest. */
        private const val MOST_REMEMBERED = 64

        /** A request needs up to a round trip between regions to arrive; servers state whole seconds. */
        private const val IDLE_MARGIN_MILLIS = 500L

        /** Servers that state no limit close idle connections after some seconds. */
        const val UNSTATED_IDLE_MILLIS = 2_000L
    }
}
