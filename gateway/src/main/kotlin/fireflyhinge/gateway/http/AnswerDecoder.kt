package fireflyhinge.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes answers while one is expected. Bytes that come at another time are dropped and reported as [UnexpectedBytes],
 * since a part of an answer that is left in the decoder would be joined to the next one.
 */
internal class AnswerDecoder : HttpResponseDecoder(config) {
    private var expecting = false
    private var passedOver = 0L
    private var begun = false
    private var inHead = true
    private val head = HeadLines()

    /** Whether the answer with a head has no body whatever the head states, as that to a `HEAD` request. */
    var bodiless: (HttpResponse) -> Boolean = { false }

    /** A request is about to be sent. */
    fun expect() {
        expecting = true
        begun = false
        inHead = true
        head.reset()
        passedOver = 0
    }

    /** The head of the expected answer was decoded. */
    fun begun() {
        begun = true
    }

    /** The expected answer was decoded to its end. */
    fun ended() {
        expecting = false
    }

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (!expecting) return drop(ctx, buffer, "bytes that belong to no request")
        val from = buffer.readerIndex()
        super.decode(ctx, buffer, out)
        if (!begun) passedOver += buffer.readerIndex() - from
        if (inHead) head.add(buffer, from, buffer.readerIndex())
        follow(out)
        when {
            head.malformed -> {
                out.clear()
                drop(ctx, buffer, "a line of the head is no field")
            }
            passedOver > MOST_PASSED_OVER -> drop(ctx, buffer, "no answer in $passedOver bytes")
        }
    }

    /** A head is decoded at once with the bytes up to its end, and a body by later calls. */
    private fun follow(out: List<Any>) {
        if (out.any { it is HttpMessage }) inHead = false
        if (out.lastOrNull() is LastHttpContent) {
            inHead = true
            if (!head.malformed) head.reset()
        }
    }

    private fun drop(ctx: ChannelHandlerContext, buffer: ByteBuf, reason: String) {
        buffer.skipBytes(buffer.readableBytes())
        ctx.fireUserEventTriggered(UnexpectedBytes(reason))
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        (message is HttpResponse && bodiless(message)) || super.isContentAlwaysEmpty(message)

    private companion object {
        /** Bytes of a status line, of all headers, and of a piece of a body. */
        const val MOST_LINE = 4_096
        const val MOST_HEADERS = 32_768
        const val MOST_CHUNK = 16_384

        /** Bytes of heads and of answers to earlier requests before the answer; the longest stream has 260 kB. */
        const val MOST_PASSED_OVER = 1L * 1024 * 1024

        val config: HttpDecoderConfig =
            HttpDecoderConfig()
                .setMaxInitialLineLength(MOST_LINE)
                .setMaxHeaderSize(MOST_HEADERS)
                .setMaxChunkSize(MOST_CHUNK)
    }
}
