package fireflyhinge.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Tracks since when an incomplete request head has been arriving. */
internal class PartialHeadTracker : ChannelInboundHandlerAdapter() {
    /** Monotonic milliseconds at which the first byte of the incomplete head arrived, or null. */
    @Volatile
    var since: Long? = null
        private set

    /** Must be called when the decoder has emitted a head or a part of a body. */
    fun headDecoded() {
        since = null
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (since == null && !isBlank(message)) since = monotonicMillis()
        ctx.fireChannelRead(message)
    }

    /** Whether [message] has only control characters and spaces, which the decoder skips before a head. */
    private fun isBlank(message: Any) = message is ByteBuf && message.forEachByte { it in 0..SPACE } < 0

    private companion object {
        const val SPACE = ' '.code
    }
}
