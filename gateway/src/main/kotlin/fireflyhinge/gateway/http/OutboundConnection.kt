package fireflyhinge.gateway.http

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import org.slf4j.LoggerFactory
import java.io.ByteArrayOutputStream
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
    private val memory: MemoryLimit,
    private var idleLimitMillis: Long = UNSTATED_IDLE_MILLIS,
) {
    private sealed interface Item {
        class Head(val response: HttpResponse) : Item

        class Body(val bytes: ByteArray) : Item

        data object End : Item
    }

    private val decoder = channel.pipeline().get(AnswerDecoder::class.java)
    private val inbox = Queue<Item>(Queue.UNLIMITED)
    private var queuedBytes = 0
    private var matcher: AnswerMatcher = AnswerMatcher.Any
    private var method = HttpMethod.GET
    private var waiting: String? = null

    /** Answers to requests without an id. */
    private val unnamed = RecentHeads()
    private var passedOver = 0
    private var keepAlive = true
    private var idleSince = System.nanoTime()

    /** Requests that were sent on this connection. */
    val carried = RecentRequests()

    /** Ids that answers to requests without an id gave out. */
    val given = RecentIds()

    /** Called once when the connection has closed. */
    var onClosed: () -> Unit = {}

    /** Whether the connection may carry another request that must not be lost. */
    val reusable: Boolean
        get() = channel.isActive && TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSince) < idleLimitMillis

    init {
        decoder.bodiless = ::bodiless
        channel.pipeline().addLast(Reader())
        channel.closeFuture().addListener { onClosed() }
    }

    /** Writes [request], whose id is [requestId] if it has one. [answers] tells which answer is its own. */
    suspend fun send(request: FullHttpRequest, requestId: String? = null, answers: AnswerMatcher) {
        matcher = answers
        method = request.method()
        waiting = requestId
        passedOver = 0
        requestId?.let { carried.add(it, method) }
        decoder.expect()
        channel.writeAndFlush(request).done()
    }

    /** An answer to an earlier request has a body as that request's method says. */
    private fun bodiless(head: HttpResponse): Boolean {
        val named = matcher.requestId(head)
        return (if (named == null) method else carried.methodOf(named)) == HttpMethod.HEAD
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
            is Item.Body -> item.bytes.also { queued(-it.size) }
            Item.End -> null
            is Item.Head -> throw IOException("an answer began inside another one")
        }

    /** The whole body of the answer. Throws [IOException] if it breaks off or is too long to be kept. */
    suspend fun wholeBody(): ByteArray {
        val body = ByteArrayOutputStream()
        try {
            while (true) {
                val bytes = body() ?: return body.toByteArray()
                if (body.size() + bytes.size > MOST_BODY) throw IOException("the answer has over $MOST_BODY bytes")
                if (!memory.take(bytes.size)) throw IOException("no memory is left for answers of servers")
                body.writeBytes(bytes)
            }
        } finally {
            memory.release(body.size())
        }
    }

    /** A server that sends faster than its answer is taken is not read for a while. */
    private fun queued(bytes: Int) {
        queuedBytes += bytes
        channel.config().isAutoRead = queuedBytes < MOST_QUEUED
    }

    /** Ends the use of the connection after a whole answer. Returns whether it can be used again. */
    fun release(): Boolean {
        waiting = null
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
            val match = matcher.match(head)
            when {
                match == AnswerMatch.OWN -> take(head)
                match == AnswerMatch.EARLIER || answersUnnamed(head) ->
                    if (passedOver++ == 0) line().log("passed over a stray answer")
                else -> {
                    breakOff(ctx, "an answer that names no request: ${head.status()} ${head.headers().names()}")
                    return false
                }
            }
            return true
        }

        /** Whether [head] may begin a second answer to a request without an id. */
        private fun answersUnnamed(head: HttpResponse): Boolean =
            waiting != null && matcher.requestId(head) == null && unnamed.remove(head)

        private fun take(head: HttpResponse) {
            passingOver = false
            decoder.begun()
            if (waiting == null) unnamed.add(head)
            keepAlive = HttpUtil.isKeepAlive(head)
            noteIdleLimit(head)
            inbox.trySend(Item.Head(head))
        }

        private fun content(message: HttpContent) {
            val size = message.content().readableBytes()
            if (size > 0) {
                queued(size)
                inbox.trySend(Item.Body(ByteArray(size).also { message.content().readBytes(it) }))
            }
            if (message is LastHttpContent) {
                decoder.ended()
                inbox.trySend(Item.End)
            }
        }

        private fun breakOff(ctx: ChannelHandlerContext, reason: String) {
            line().addKeyValue("reason", reason).log("unexpected bytes from a server; the connection is closed")
            inbox.close(IOException("the server sent bytes that are no answer"))
            ctx.close()
        }

        private fun line() = log.atInfo().addKeyValue("server", address).addKeyValue("request", waiting)

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

        /** Bytes of an answer that is kept whole: four times the largest value of the platform's store. */
        private const val MOST_BODY = 4 * 1024 * 1024

        /** Bytes that were read from the server and not taken yet; a few hundred events. */
        private const val MOST_QUEUED = 128 * 1024

        /** A request needs up to a round trip between regions to arrive; servers state whole seconds. */
        private const val IDLE_MARGIN_MILLIS = 500L

        /** Servers that state no limit close idle connections after some seconds. */
        const val UNSTATED_IDLE_MILLIS = 2_000L
    }
}
