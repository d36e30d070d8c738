package fireflyhinge.gateway.http

import fireflyhinge.forward.CallerLimits
import fireflyhinge.result.ResultCode
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.TooLongHttpHeaderException
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Reads the requests of one connection and has them handled one after the other. Runs on the event loop. */
internal class CallerConnection(
    private val io: IoLoop,
    private val channel: Channel,
    private val listener: ListenerState,
    handler: RequestHandler,
    private val memory: MemoryLimit,
) : SimpleChannelInboundHandler<HttpObject>() {
    private val incoming = IncomingRequest({ listener.limits }, memory, listener::acceptRequest)
    private val dispatcher = RequestDispatcher(handler)

    /** Sees bytes before they are decoded; must precede the decoder in the pipeline. */
    val partialHead = PartialHeadTracker()
    private val output = CallerOutput(channel, memory.held)
    private val expectContinue = ExpectContinue(output)
    private val pipelined = ArrayDeque<Pair<CallerRequest, Boolean>>()

    /** The most recent request; its handler may still write a response if it is cancelled. */
    var job: Job? = null
        private set
    private var closing = false

    /** Why the bytes after the last complete request were rejected; sent once that request has its response. */
    private var pendingRejection: ResultCode? = null
    private var idleSince = monotonicMillis()

    /** The idle limit at [idleSince]; if it is lowered, the lower one applies from the next idle period on. */
    private var idleLimitMillis = listener.limits.idleMillis

    @Volatile
    private var responding = false

    /** Whether a request is arriving or being handled; may still be true after a response was written completely. */
    private val serving: Boolean get() = responding || incoming.since != null || partialHead.since != null

    /** Whether a request is arriving or being handled, or the caller has not taken its response yet. */
    val busy: Boolean get() = serving || output.pending

    override fun channelRead0(ctx: ChannelHandlerContext, message: HttpObject) {
        if (closing) return
        partialHead.headDecoded()
        val failed = message.decoderResult().isFailure
        val error = if (failed) errorOf(message.decoderResult().cause()) else incoming.add(message)
        if (error != null) return reject(error)
        expectContinue.onPart(message)
        if (!responding) expectContinue.sendIfPending()
        incoming.takeComplete()?.let { (request, keepAlive) ->
            expectContinue.requestCompleted()
            pipelined += request to keepAlive
            if (pipelined.size >= MAX_PIPELINED) channel.config().isAutoRead = false
            if (!responding) handleNext()
        }
    }

    private fun handleNext() {
        val (request, keepAlive) = pipelined.removeFirstOrNull() ?: return
        channel.config().isAutoRead = true
        val writer =
            ChannelResponseWriter(channel, output) { keepAlive && !(listener.draining && pipelined.isEmpty()) }
        responding = true
        output.uri = request.uri
        job =
            io.scope.launch(start = CoroutineStart.UNDISPATCHED) {
                try {
                    dispatcher.dispatch(request, writer)
                } finally {
                    memory.release(request.body.size)
                }
            }
        job?.invokeOnCompletion { channel.eventLoop().execute { handled(writer) } }
    }

    private fun handled(writer: ChannelResponseWriter) {
        responding = false
        idleSince = monotonicMillis()
        idleLimitMillis = listener.limits.idleMillis
        val code = pendingRejection
        when {
            !writer.complete -> channel.close()
            !writer.keptAlive -> closeGracefully()
            pipelined.isNotEmpty() -> handleNext()
            code != null -> writeRejection(code)
            closing || !listener.accepting && !serving -> closeGracefully()
            else -> expectContinue.sendIfPending()
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        incoming.discard()
        pipelined.forEach { memory.release(it.first.body.size) }
        pipelined.clear()
        job?.cancel(if (output.aborted) SlowCallerException() else null)
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException || closing) {
            log.debug("caller connection failed: {}", cause.message)
            ctx.close()
        } else {
            log.atError().setCause(cause).log("failed to read a request from a caller")
            reject(ResultCode.INTERNAL_NOT_RUN)
        }
    }

    /** Rejects unreadable input after the responses to the requests before it, then closes the connection. */
    private fun reject(code: ResultCode) {
        closing = true
        incoming.discard()
        log.atInfo().addKeyValue("code", code.label).log("request rejected before it was read completely")
        if (responding) pendingRejection = code else writeRejection(code)
    }

    private fun writeRejection(code: ResultCode) {
        val retryAfter = REFUSED_RETRY_AFTER_MILLIS.takeIf { code == ResultCode.CAPACITY_EXHAUSTED }
        val error = ErrorResponse.of(code, detail = "", requestId = null, retryAfterMillis = retryAfter)
        output.write(error.closing(code.httpStatus), 0).addListener(ChannelFutureListener { closeGracefully() })
    }

    /** Ends the sending side and lets the caller close, since closing with unread bytes would reset the connection. */
    private fun closeGracefully() {
        closing = true
        output.whenDrained {
            (channel as? SocketChannel)?.shutdownOutput()
            channel.eventLoop().schedule({ channel.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    /** Closes the connection if no request is arriving or being handled on it. */
    fun closeIfIdle() {
        if (!serving) closeGracefully()
    }

    /** Closes the connection if it was idle for too long; rejects a request that takes too long to arrive. */
    fun checkTimeouts(limits: CallerLimits) {
        val bodySince = incoming.since
        val idleMillis = monotonicMillis() - maxOf(idleSince, output.progressMillis)
        val headSince = partialHead.since.takeIf { bodySince == null }
        when {
            output.stalledMillis > limits.idleMillis * STALLED_IDLE_FACTOR -> output.abort("time")
            closing -> Unit
            headSince != null && monotonicMillis() - headSince > limits.headerMillis ->
                reject(ResultCode.HEADER_TIMEOUT)
            bodySince != null && monotonicMillis() - bodySince > BODY_TIMEOUT_MILLIS -> reject(ResultCode.BODY_TIMEOUT)
            !busy && idleMillis > maxOf(idleLimitMillis, limits.idleMillis) -> closeGracefully()
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(CallerConnection::class.java)

        /** Requests that are read ahead on one connection. */
        const val MAX_PIPELINED = 8

        /** A caller that takes nothing is aborted after the idle limit times this; 30 s by default. */
        const val STALLED_IDLE_FACTOR = 2

        /** Time until some of the callers that do not read have been aborted; other VMs take the request at once. */
        const val REFUSED_RETRY_AFTER_MILLIS = 500L

        /** Time for a caller to close its side. */
        const val LINGER_MILLIS = 1_000L

        /** The largest allowed body takes 4 s at 8 Mbit/s. */
        const val BODY_TIMEOUT_MILLIS = 10_000L
    }
}

private fun errorOf(cause: Throwable) =
    if (cause is TooLongHttpHeaderException) ResultCode.HEADERS_TOO_LARGE else ResultCode.MALFORMED_REQUEST
