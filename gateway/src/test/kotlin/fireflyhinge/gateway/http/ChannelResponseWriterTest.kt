package fireflyhinge.gateway.http

import fireflyhinge.forward.HeldBytesLimits
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException

class ChannelResponseWriterTest {
    private class Case(val what: String, val complete: Boolean, val write: suspend (ResponseWriter) -> Unit)

    private val cases =
        listOf(
            Case("a complete response", complete = true) { it.respond(OK, DefaultHttpHeaders(), ByteArray(1)) },
            Case("the end of a stream", complete = true) {
                it.start(OK, DefaultHttpHeaders())
                it.finish()
            },
            Case("part of a stream", complete = false) {
                it.start(OK, DefaultHttpHeaders())
                it.write(ByteArray(1))
            },
        )

    /** Writes are passed on, but their completion is reported late, as after a pause of the process. */
    private class LateCompletion : ChannelOutboundHandlerAdapter() {
        override fun write(ctx: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            ctx.write(message)
        }
    }

    /**
     * Guards against closing a connection whose response is already written, because the time limit of its request ends
     * before the write is reported as complete. The caller may have sent its next request by then.
     */
    @Test
    fun abortAfterTheLastBytesLeavesTheConnectionOpen() {
        cases.forEach { case ->
            val channel = EmbeddedChannel(LateCompletion())
            val writer = ChannelResponseWriter(channel) { true }
            start { case.write(writer) }.cancel()
            writer.abort()
            assertEquals(case.complete, channel.isOpen, case.what)
            assertEquals(case.complete, writer.complete, case.what)
        }
    }

    /** Guards against a replica that is kept waiting, and cuts its stream, because the caller reads slowly. */
    @Test
    fun theLongestStreamIsQueuedForACallerThatDoesNotRead() {
        val channel = EmbeddedChannel(LateCompletion())
        val held = HeldMemory(channel.eventLoop(), HeldBytesLimits.of(110L shl 20))
        val writer = ChannelResponseWriter(channel, CallerOutput(channel, held)) { true }
        var written = 0
        start {
            writer.start(OK, DefaultHttpHeaders())
            repeat(20_000) { writer.write(ByteArray(EVENT_BYTES)).also { written += EVENT_BYTES } }
        }
        assertTrue(written > 312_000 && written <= held.limits.perCaller) { "$written bytes" }
        assertTrue(held.bytes in written..written + written / 8) { "${held.bytes} bytes are counted" }
        channel.close()
        channel.runPendingTasks()
        assertTrue(held.bytes < 2 * CallerOutput.BLOCK_BYTES) { "${held.bytes} bytes" }
    }

    /** Guards against a request without a response because a response that could not be written counts as complete. */
    @Test
    fun failedWriteDoesNotCompleteTheResponse() {
        val failing =
            object : ChannelOutboundHandlerAdapter() {
                override fun write(ctx: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
                    promise.setFailure(IOException("test"))
                }
            }
        val writer = ChannelResponseWriter(EmbeddedChannel(failing)) { true }
        start { runCatching { writer.respond(OK, DefaultHttpHeaders(), ByteArray(1)) } }
        assertEquals(false, writer.complete)
    }

    private fun start(block: suspend () -> Unit): Job =
        CoroutineScope(Dispatchers.Unconfined).launch(start = CoroutineStart.UNDISPATCHED) { block() }

    private companion object {
        const val OK = 200
        const val EVENT_BYTES = 100
    }
}
