package fireflyhinge.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes answers while one is expected. Bytes that come at another time are dropped and reported as [UnexpectedBytes],
 * since a part of an answer that is left in the decoder would be joined to the next one.
 */
internal class AnswerDecoder : HttpResponseDecoder(config) {
    private var expecting = false
    private var bodiless = false

    /** A request with [method] is about to be sent. */
    fun expect(method: HttpMethod) {
        expecting = true
        bodiless = method == HttpMethod.HEAD
    }

    /** The expected answer was decoded to its end. */
    fun ended() {
        expecting = false
    }

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (expecting) return super.decode(ctx, buffer, out)
        buffer.skipBytes(buffer.readableBytes())
        ctx.fireUserEventTriggered(UnexpectedBytes("bytes that belong to no request"))
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = bodiless || super.isContentAlwaysEmpty(message)

    private companion object {
        /** Bytes of a status line, of all headers, and of a piece of a body. */
        const val MOST_LINE = 4_096
        const val MOST_HEADERS = 32_768
        const val MOST_CHUNK = 16_384

        val config: HttpDecoderConfig =
            HttpDecoderConfig()
                .setMaxInitialLineLength(MOST_LINE)
                .setMaxHeaderSize(MOST_HEADERS)
                .setMaxChunkSize(MOST_CHUNK)
    }
}
