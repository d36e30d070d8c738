package fireflyhinge.gateway.http

import fireflyhinge.forward.CallerLimits
import fireflyhinge.result.ResultCode
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Reads the requests of one connection and has them answered one after the other. Runs on the event loop. */
internal class CallerConnection(
    private val io: Io,
    private val channel: Channel,
    private val limits: () -> CallerLimits,
    private val handler: RequestHandler,
    private val draining: () -> Boolean,
    private val memory: MemoryLimit,
) : SimpleChannelInboundHandler<HttpObject>() {
    private class Incoming(val head: HttpRequest, val since: Long) {
        val body = ByteArrayOutputStream()
    }

    private var incoming: Incoming? = null
    private val waiting = ArrayDeque<Pair<CallerRequest, Boolean>>()
    private var job: Job? = null
    private var closing = false
    private var quietSince = nowMillis()

    /** Whether a request is being answered. */
    val answering: Boolean get() = job?.isActive == true

    override fun channelRead0(ctx: ChannelHandlerContext, message: HttpObject) {
        when {
            closing -> Unit
            message.decoderResult().isFailure -> refuse(faultOf(message.decoderResult().cause()))
            else -> {
                if (message is HttpRequest) begin(message)
                if (message is HttpContent && !closing) add(message)
            }
        }
    }

    private fun faultOf(cause: Throwable) =
        if (cause is TooLongHttpHeaderException) ResultCode.HEADERS_TOO_LARGE else ResultCode.MALFORMED_REQUEST

    private fun begin(head: HttpRequest) {
        incoming = Incoming(head, nowMillis())
        val length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH)?.toLongOrNull() ?: 0
        val chunked = head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        val ambiguous = chunked && head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        when {
            ambiguous || chunked && !HttpUtil.isTransferEncodingChunked(head) -> refuse(ResultCode.MALFORMED_REQUEST)
            length > limits().bodyBytes -> refuse(ResultCode.BODY_TOO_LARGE)
            HttpUtil.is100ContinueExpected(head) -> channel.writeAndFlush(interim())
        }
    }

    private fun interim() = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)

    private fun add(content: HttpContent) {
        val request = incoming ?: return
        val bytes = ByteArray(content.content().readableBytes()).also { content.content().readBytes(it) }
        when {
            request.body.size() + bytes.size > limits().bodyBytes -> refuse(ResultCode.BODY_TOO_LARGE)
            !memory.take(bytes.size) -> refuse(ResultCode.CAPACITY_EXHAUSTED)
            else -> {
                request.body.writeBytes(bytes)
                if (content is LastHttpContent) complete(request)
            }
        }
    }

    private fun complete(request: Incoming) {
        incoming = null
        val head = request.head
        val whole =
            CallerRequest(head.method().name(), head.uri(), head.headers(), request.body.toByteArray(), request.since)
        waiting += whole to HttpUtil.isKeepAlive(head)
        if (waiting.size >= MOST_PIPELINED) channel.config().isAutoRead = false
        if (!answering) answerNext()
    }

    private fun answerNext() {
        val (request, keepAlive) = waiting.removeFirstOrNull() ?: return
        channel.config().isAutoRead = true
        val writer = ChannelAnswer(channel, keepAlive = { keepAlive && !draining() })
        job =
            io.scope.launch(start = CoroutineStart.UNDISPATCHED) {
                try {
                    handler.handle(request, writer)
                } catch (e: IOException) {
                    // The caller is gone; channelInactive follows.
                    log.debug("an answer could not be written: {}", e.message)
                    writer.abort()
                } finally {
                    memory.release(request.body.size)
                }
            }
        job?.invokeOnCompletion { channel.eventLoop().execute { answered(writer) } }
    }

    private fun answered(writer: ChannelAnswer) {
        quietSince = nowMillis()
        when {
            !writer.complete -> channel.close()
            closing || !writer.keptAlive -> closeGently()
            else -> answerNext()
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        incoming?.let { memory.release(it.body.size()) }
        waiting.forEach { memory.release(it.first.body.size) }
        waiting.clear()
        job?.cancel()
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        log.debug("a caller's connection broke: {}", cause.message)
        ctx.close()
    }

    /** Answers what cannot be read as a request, and closes. */
    private fun refuse(code: ResultCode) {
        closing = true
        incoming?.let { memory.release(it.body.size()) }
        incoming = null
        log.atInfo().addKeyValue("code", code.label).log("a request was refused before it was read")
        val answer = ErrorAnswer.of(code, detail = "", requestId = null)
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(code.httpStatus),
                Unpooled.wrappedBuffer(answer.body),
                DefaultHttpHeaders().add(answer.headers),
                DefaultHttpHeaders(),
            )
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body.size)
        response.headers().set(HttpHeaderNames.CONNECTION, "close")
        // An answer in progress is not interrupted; the connection closes after it.
        if (!answering) channel.writeAndFlush(response).addListener(ChannelFutureListener { closeGently() })
    }

    /** Ends the sending side and lets the caller close, since closing with unread bytes would reset the connection. */
    private fun closeGently() {
        closing = true
        (channel as? SocketChannel)?.shutdownOutput()
        channel.eventLoop().schedule({ channel.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Closes the connection if no request is read or answered on it. */
    fun closeIfIdle() {
        if (!answering && incoming == null && waiting.isEmpty()) closeGently()
    }

    /** Closes the connection if it has been idle, or a request takes too long to arrive. */
    fun checkTimes(now: CallerLimits) {
        val request = incoming
        when {
            request != null && nowMillis() - request.since > BODY_MILLIS -> refuse(ResultCode.BODY_TIMEOUT)
            request == null && !answering && nowMillis() - quietSince > now.idleMillis -> closeGently()
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(CallerConnection::class.java)

        /** Requests read ahead on one connection. */
        const val MOST_PIPELINED = 8

        /** Time for a caller to close its side. */
        const val LINGER_MILLIS = 1_000L

        /** Time for a body to arrive; the longest allowed one takes 4 s at 8 Mbit/s. */
        const val BODY_MILLIS = 10_000L
    }
}

internal fun nowMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
