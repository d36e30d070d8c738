package fireflyhinge.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes responses while one is expected. Bytes that arrive at another time are dropped and reported as
 * [UnexpectedBytes], since a partial response that stays in the decoder would be joined to the next one.
 */
internal class ResponseDecoder : HttpResponseDecoder(config) {
    private var expecting = false
    private var discardedBytes = 0L
    private var accepted = false
    private var inHead = true
    private val head = HeadValidator()

    /** Whether the response with a head has no body whatever the head states, as for a `HEAD` request. */
    var hasNoBody: (HttpResponse) -> Boolean = { false }

    /** Must be called before a request is sent. */
    fun expectResponse() {
        expecting = true
        accepted = false
        inHead = true
        head.reset()
        discardedBytes = 0
    }

    /** Must be called when the head of the expected response was decoded. */
    fun headAccepted() {
        accepted = true
    }

    /** Must be called when the expected response was decoded to its end. */
    fun responseCompleted() {
        expecting = false
    }

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (!expecting) return drop(ctx, buffer, "bytes received while no request was pending")
        val from = buffer.readerIndex()
        super.decode(ctx, buffer, out)
        if (!accepted) discardedBytes += buffer.readerIndex() - from
        if (inHead) head.add(buffer, from, buffer.readerIndex())
        updateState(out)
        when {
            head.malformed -> {
                out.clear()
                drop(ctx, buffer, "malformed line in the response head")
            }
            discardedBytes > MAX_DISCARDED_BYTES -> drop(ctx, buffer, "no response within $discardedBytes bytes")
        }
    }

    /** Netty parses any integer as a status; a response without a valid one is malformed. */
    override fun createMessage(initialLine: Array<out String>): HttpMessage {
        require(STATUS.matches(initialLine[1])) { "invalid status: ${initialLine[1]}" }
        return super.createMessage(initialLine)
    }

    /** The HTTP decoder emits a head in the same call that consumes its last bytes, and a body in later calls. */
    private fun updateState(out: List<Any>) {
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
        (message is HttpResponse && hasNoBody(message)) || super.isContentAlwaysEmpty(message)

    private companion object {
        val STATUS = Regex("[1-5][0-9]{2}")
        const val MAX_STATUS_LINE_BYTES = 4_096
        const val MAX_HEADER_BYTES = 32_768
        const val MAX_CHUNK_BYTES = 16_384

        /**
         * Bytes of heads and of responses to earlier requests before the expected response; the longest stream has
         * 260 kB.
         */
        const val MAX_DISCARDED_BYTES = 1L * 1024 * 1024

        val config: HttpDecoderConfig =
            HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
    }
}
