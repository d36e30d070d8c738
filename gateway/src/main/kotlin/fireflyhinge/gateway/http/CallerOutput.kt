package fireflyhinge.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.nio.channels.ClosedChannelException
import kotlin.coroutines.resume

/**
 * Queues what is written to a caller and counts it in [memory]. The channel gets one message at a time, since it needs
 * several times the memory of a short event that is queued there. Runs on the event loop.
 */
internal class CallerOutput(private val channel: Channel, private val memory: HeldMemory) {
    /** A message that counts as [bytes]; [block] is its content if more may be appended. */
    private class Item(val message: HttpObject, val bytes: Int, val promise: ChannelPromise, val block: ByteBuf?)

    private val queue = ArrayDeque<Item>()
    private var sending = false
    private var roomWaiter: CancellableContinuation<Unit>? = null
    private var onDrained: (() -> Unit)? = null

    /** Target of the most recent request, for the log. */
    var uri = ""

    /** Bytes that the caller has not taken. */
    @Volatile
    var queuedBytes = 0
        private set

    /** Monotonic milliseconds at which the caller last took bytes, or the first byte was queued. */
    var progressMillis = 0L
        private set

    /** Whether the connection was closed because the caller does not read. */
    var aborted = false
        private set

    /** Whether anything is queued. */
    val pending: Boolean get() = queuedBytes > 0

    /** Milliseconds since the caller last took bytes of those that are queued; 0 if none are. */
    val stalledMillis: Long get() = if (pending) monotonicMillis() - progressMillis else 0

    init {
        memory.track(this)
        channel.closeFuture().addListener { discard() }
    }

    /** Writes [bytes] of a body after everything that is queued. */
    fun append(bytes: ByteArray) {
        if (!sending) {
            write(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), bytes.size)
            return
        }
        var from = 0
        while (from < bytes.size) {
            val block = queue.lastOrNull()?.block?.takeIf { it.isWritable } ?: newBlock()
            val length = minOf(bytes.size - from, block.writableBytes())
            block.writeBytes(bytes, from, length)
            from += length
        }
    }

    private fun newBlock(): ByteBuf {
        val block = Unpooled.buffer(BLOCK_BYTES, BLOCK_BYTES)
        write(DefaultHttpContent(block), BLOCK_BYTES, block)
        return block
    }

    /**
     * Writes [message], which holds [bytes] of content, after everything that is queued. [block] is its content if more
     * may be appended to it meanwhile.
     */
    fun write(message: HttpObject, bytes: Int, block: ByteBuf? = null): ChannelFuture {
        val item = Item(message, bytes + MESSAGE_BYTES, channel.newPromise(), block)
        if (!pending) progressMillis = monotonicMillis()
        queuedBytes += item.bytes
        memory.add(item.bytes)
        item.promise.addListener { completed(item) }
        queue += item
        if (!sending) sendNext()
        return item.promise
    }

    private fun sendNext() {
        val item = queue.removeFirstOrNull() ?: return
        sending = true
        item.promise.addListener {
            sending = false
            sendNext()
            if (!sending) onDrained?.also { onDrained = null }?.invoke()
        }
        channel.writeAndFlush(item.message, item.promise)
    }

    private fun completed(item: Item) {
        queuedBytes -= item.bytes
        memory.release(item.bytes)
        progressMillis = monotonicMillis()
        if (queuedBytes <= memory.readAheadBytes) resumeWriter()
    }

    private fun resumeWriter() {
        roomWaiter?.also { roomWaiter = null }?.resume(Unit)
    }

    /** Suspends while as much is queued as may be read ahead; returns if the connection closes. */
    suspend fun awaitRoom() {
        while (channel.isActive && queuedBytes > memory.readAheadBytes) {
            suspendCancellableCoroutine { waiting ->
                roomWaiter = waiting
                waiting.invokeOnCancellation { roomWaiter = null }
            }
        }
    }

    /** Calls [block] once nothing is queued or being sent. */
    fun whenDrained(block: () -> Unit) {
        if (sending) onDrained = block else block()
    }

    /** Closes the connection with a reset, which also discards what the kernel holds for the caller. */
    fun abort(reason: String) {
        if (aborted) return
        aborted = true
        memory.log.recordAbort(this, reason)
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    private fun discard() {
        memory.untrack(this)
        while (true) {
            val item = queue.removeFirstOrNull() ?: break
            ReferenceCountUtil.release(item.message)
            item.promise.tryFailure(ClosedChannelException())
        }
        resumeWriter()
    }

    companion object {
        /** Bytes of a body that are collected into one message while the caller does not read. */
        const val BLOCK_BYTES = 8 * 1024

        /** Bytes of a message in addition to its content; an estimate. */
        private const val MESSAGE_BYTES = 512
    }
}
