package fireflyhinge.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.yield
import java.io.IOException

/** Writes one response to [channel]. [keepAlive] tells whether the connection may stay open after it. */
internal class ChannelResponseWriter(
    private val channel: Channel,
    private val output: CallerOutput = CallerOutput(channel, HeldMemory(channel.eventLoop())),
    private val keepAlive: () -> Boolean,
) : ResponseWriter {
    override var started = false
        private set

    /** Whether the connection is open. */
    val open: Boolean get() = channel.isActive

    override var complete = false
        private set

    /** Whether the connection may carry another request. */
    var keptAlive = false
        private set

    override suspend fun respond(status: Int, headers: HttpHeaders, body: ByteArray) {
        val response = fullResponse(status, headers, body)
        setConnectionHeader(response.headers())
        started = true
        if (body.size <= PIECE_BYTES) return awaitEnd(output.write(response, body.size))
        output.write(DefaultHttpResponse(response.protocolVersion(), response.status(), response.headers()), 0)
        for (from in body.indices step PIECE_BYTES) {
            val length = minOf(PIECE_BYTES, body.size - from)
            output.write(DefaultHttpContent(Unpooled.wrappedBuffer(body, from, length)), 0)
        }
        // Counts until all pieces are written, since each of them keeps the whole array.
        awaitEnd(output.write(LastHttpContent.EMPTY_LAST_CONTENT, body.size))
    }

    override suspend fun start(status: Int, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers.copy())
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked")
        setConnectionHeader(response.headers())
        started = true
        output.write(response, 0)
    }

    override suspend fun write(bytes: ByteArray) {
        output.append(bytes)
        output.awaitRoom()
    }

    override suspend fun finish() {
        awaitEnd(output.write(LastHttpContent.EMPTY_LAST_CONTENT, 0))
    }

    /** Completes the response before [last] is confirmed: the caller may have the last bytes by now. */
    private suspend fun awaitEnd(last: ChannelFuture) {
        complete = last.cause() == null
        try {
            last.awaitCompletion()
        } catch (e: IOException) {
            complete = false
            if (!channel.isActive) repeat(CLOSE_STEPS) { yield() }
            throw e
        }
    }

    override fun abort() {
        if (!complete) channel.close()
    }

    private fun setConnectionHeader(headers: HttpHeaders) {
        keptAlive = keepAlive()
        if (!keptAlive) headers.set(HttpHeaderNames.CONNECTION, "close")
    }

    private companion object {
        /** Bytes of a body that are written at a time: a caller that takes part of it is not seen as stalled. */
        const val PIECE_BYTES = 32 * 1024

        /**
         * Tasks of the event loop from the failure of the last write to the cancellation of the request, if the caller
         * has left. Otherwise the failure would be taken for one of the replica.
         */
        const val CLOSE_STEPS = 2
    }
}
