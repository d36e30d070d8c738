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
import java.io.IOException

/** Writes one response to [channel]. [keepAlive] tells whether the connection may stay open after it. */
internal class ChannelResponseWriter(private val channel: Channel, private val keepAlive: () -> Boolean) :
    ResponseWriter {
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
        awaitEnd(channel.writeAndFlush(response))
    }

    override suspend fun start(status: Int, headers: HttpHeaders) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers.copy())
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked")
        setConnectionHeader(response.headers())
        started = true
        channel.writeAndFlush(response)
    }

    override suspend fun write(bytes: ByteArray) {
        val written = channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        if (!channel.isWritable) written.awaitCompletion()
    }

    override suspend fun finish() {
        awaitEnd(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))
    }

    /** Completes the response before [last] is confirmed: the caller may have the last bytes by now. */
    private suspend fun awaitEnd(last: ChannelFuture) {
        complete = last.cause() == null
        try {
            last.awaitCompletion()
        } catch (e: IOException) {
            complete = false
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
}
