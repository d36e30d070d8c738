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
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.channels.Channel as Queue

/**
 * A connection to a server, used by one request at a time. It returns the response to that request only: late responses
 * to earlier requests are discarded, and bytes that respond to no request close the connection.
 */
internal class OutboundConnection(
    private val channel: Channel,
    val address: String,
    private val memory: MemoryLimit,
    private var idleLimitMillis: Long = DEFAULT_IDLE_LIMIT_MILLIS,
) {
    private sealed interface Part {
        class Head(val response: HttpResponse) : Part

        class Body(val bytes: ByteArray) : Part

        data object End : Part
    }

    private val decoder = channel.pipeline().get(ResponseDecoder::class.java)
    private val inbox = Queue<Part>(Queue.UNLIMITED)
    private val queued = HeldShare(memory.held)
    private var matcher: ResponseMatcher = ResponseMatcher.AcceptAll
    private var method = HttpMethod.GET
    private var pendingRequestId: String? = null

    /** Responses to requests without an id. */
    private val unidentifiedHeads = RecentHeads()
    private var discardedResponses = 0
    private var keepAlive = true
    private var idleSince = System.nanoTime()

    /** The most recent requests with an id on this connection; none of them is sent on it a second time. */
    val recentRequests = RecentRequests()

    /** Ids that servers issued in responses to requests without an id. */
    val issuedIds = RecentIds()

    /** Called once when the connection has closed. */
    var onClosed: () -> Unit = {}

    /** Whether the connection may be used for another request, as the server is not about to close it. */
    val reusable: Boolean
        get() = channel.isActive && TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSince) < idleLimitMillis

    init {
        decoder.hasNoBody = ::hasNoBody
        channel.pipeline().addLast(Reader())
        channel.closeFuture().addListener { onClosed() }
    }

    /** Sends [request], whose id is [requestId] if it has one. [matcher] identifies the response to it. */
    suspend fun send(request: FullHttpRequest, requestId: String? = null, matcher: ResponseMatcher) {
        this.matcher = matcher
        method = request.method()
        pendingRequestId = requestId
        discardedResponses = 0
        requestId?.let { recentRequests.add(it, method) }
        decoder.expectResponse()
        channel.writeAndFlush(request).awaitCompletion()
    }

    /**
     * Whether the response with [head] has no body because its request was a `HEAD`. For a late response, the method is
     * that of the earlier request and not of the pending one.
     */
    private fun hasNoBody(head: HttpResponse): Boolean {
        val requestId = matcher.requestId(head)
        return (if (requestId == null) method else recentRequests.methodOf(requestId)) == HttpMethod.HEAD
    }

    /** Reads the head of the response. Throws [IOException] if none arrives. */
    suspend fun readHead(): HttpResponse =
        when (val part = nextPart()) {
            is Part.Head -> part.response
            else -> throw IOException("an answer began without a head")
        }

    /**
     * Reads the next chunk of the response body; null at its end. Throws [IOException] if the response is truncated.
     */
    suspend fun readChunk(): ByteArray? =
        when (val part = nextPart()) {
            is Part.Body -> part.bytes.also { addQueued(-it.size - PART_BYTES) }
            Part.End -> null
            is Part.Head -> throw IOException("an answer began inside another one")
        }

    /**
     * Reads the whole response body, within the limits of [transfer] if there are any. Throws [IOException] if it is
     * truncated or too large to buffer.
     */
    suspend fun readBody(transfer: BodyTransfer? = null): ByteArray {
        val body = BodyBuffer()
        val unreserved = HeldShare(memory.held)
        var reserved = 0
        try {
            while (true) {
                val chunk = if (transfer == null) readChunk() else transfer.next(::readChunk)
                val bytes = chunk ?: return body.toByteArray()
                if (body.size + bytes.size > MAX_BODY_BYTES) {
                    throw IOException("the answer has over $MAX_BODY_BYTES bytes")
                }
                body.add(bytes)
                unreserved.add(minOf(body.size, UNRESERVED_BODY_BYTES) - unreserved.bytes)
                val more = maxOf(0, body.size - UNRESERVED_BODY_BYTES) - reserved
                if (!memory.tryReserve(more)) throw IOException("no memory is left for answers of servers")
                reserved += more
            }
        } finally {
            memory.release(reserved)
            unreserved.close()
        }
    }

    /** Applies backpressure: pauses reading while a server sends faster than its response is consumed. */
    private fun addQueued(bytes: Int) {
        queued.add(bytes)
        channel.config().isAutoRead = queued.bytes < MAX_QUEUED_BYTES
    }

    /** Ends the use of the connection after a complete response. Returns whether it can be reused. */
    fun release(): Boolean {
        pendingRequestId = null
        idleSince = System.nanoTime()
        val clean = keepAlive && channel.isActive && inbox.tryReceive().getOrNull() == null
        if (!clean) close()
        return clean
    }

    /**
     * Closes the connection, which ends a run in progress at the server. A response that would end with the connection
     * then counts as truncated.
     */
    fun close() {
        inbox.close(IOException("the connection was closed by this VM"))
        queued.close()
        channel.close()
    }

    private suspend fun nextPart(): Part =
        try {
            inbox.receive()
        } catch (e: ClosedReceiveChannelException) {
            throw IOException("the connection was closed", e)
        }

    private fun updateIdleLimit(response: HttpResponse) {
        val stated = response.headers().get(KEEP_ALIVE)?.substringAfter("timeout=", "")?.takeWhile { it.isDigit() }
        val seconds = stated?.toLongOrNull() ?: return
        idleLimitMillis = seconds * MILLIS_PER_SECOND - IDLE_MARGIN_MILLIS
    }

    private inner class Reader : SimpleChannelInboundHandler<HttpObject>() {
        private var discarding = false

        override fun channelRead0(ctx: ChannelHandlerContext, message: HttpObject) {
            val cause = message.decoderResult().cause()
            if (cause != null) return rejectBytes(ctx, cause.message.orEmpty())
            if (message is HttpResponse && !handleHead(ctx, message)) return
            if (message is HttpContent && !discarding) handleContent(message)
        }

        /** Returns whether the connection is still usable after [head]. */
        private fun handleHead(ctx: ChannelHandlerContext, head: HttpResponse): Boolean {
            discarding = true
            if (head.protocolVersion() !in VERSIONS) {
                rejectBytes(ctx, "unsupported protocol version ${head.protocolVersion()}")
                return false
            }
            if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) return true
            val match = matcher.match(head)
            when {
                match == ResponseMatch.CURRENT -> accept(head)
                // A late response: discarded, and logged once per pending request.
                match == ResponseMatch.EARLIER || repeatsUnidentified(head) ->
                    if (discardedResponses++ == 0) logEvent().log("passed over a stray answer")
                else -> {
                    rejectBytes(ctx, "response that matches no request: ${head.status()} ${head.headers().names()}")
                    return false
                }
            }
            return true
        }

        /** Whether [head] may start a second response to a request without an id. */
        private fun repeatsUnidentified(head: HttpResponse): Boolean =
            pendingRequestId != null && matcher.requestId(head) == null && unidentifiedHeads.remove(head)

        private fun accept(head: HttpResponse) {
            discarding = false
            decoder.headAccepted()
            if (pendingRequestId == null) unidentifiedHeads.add(head)
            keepAlive = HttpUtil.isKeepAlive(head)
            updateIdleLimit(head)
            inbox.trySend(Part.Head(head))
        }

        private fun handleContent(message: HttpContent) {
            val size = message.content().readableBytes()
            if (size > 0) {
                addQueued(size + PART_BYTES)
                inbox.trySend(Part.Body(ByteArray(size).also { message.content().readBytes(it) }))
            }
            if (message is LastHttpContent) {
                decoder.responseCompleted()
                inbox.trySend(Part.End)
            }
        }

        private fun rejectBytes(ctx: ChannelHandlerContext, reason: String) {
            logEvent().addKeyValue("reason", reason).log("unexpected bytes from a server; the connection is closed")
            inbox.close(IOException("the server sent bytes that are no answer"))
            ctx.close()
        }

        private fun logEvent() =
            log.atInfo().addKeyValue("server", address).addKeyValue("request", pendingRequestId)

        override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
            if (event is UnexpectedBytes) rejectBytes(ctx, event.reason) else super.userEventTriggered(ctx, event)
        }

        // After a reset, Netty calls this before the decoder ends a response without a length. The inbox is closed
        // here, so that such a response counts as truncated and not as complete.
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

        /** Largest response that is buffered: four times the largest value of the platform's store. */
        private const val MAX_BODY_BYTES = 4 * 1024 * 1024

        /** A body of this size needs no shared memory, so that large bodies of one server fail no others. */
        private const val UNRESERVED_BODY_BYTES = 32 * 1024

        /** Received bytes that were not consumed yet; a few hundred events. */
        private const val MAX_QUEUED_BYTES = 128 * 1024

        /** Bytes of a queued part in addition to its content; an estimate. */
        private const val PART_BYTES = 64

        /** A request takes up to a round trip between regions to arrive; servers state whole seconds. */
        private const val IDLE_MARGIN_MILLIS = 500L

        /** Servers that state no keep-alive timeout close idle connections after some seconds. */
        const val DEFAULT_IDLE_LIMIT_MILLIS = 2_000L
    }
}
