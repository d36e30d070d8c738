package fireflyhinge.systemtest

import java.io.IOException
import java.net.Socket
import kotlin.concurrent.thread

/** Copies bytes between a [caller] and a [target] on [port] until one of them closes; holds them while [blocked]. */
internal class Relay(
    private val caller: Socket,
    private val target: Socket,
    val port: Int,
    private val blocked: () -> Boolean,
) : AutoCloseable {
    /** Whether all bytes are dropped from now on. */
    @Volatile
    var silent = false

    /** Blocks until the connection has ended. */
    fun run() {
        val back = thread(isDaemon = true, name = "relay") { copy(from = target, to = caller) }
        copy(from = caller, to = target)
        back.join()
    }

    override fun close() = listOf(caller, target).forEach { it.close() }

    private fun copy(from: Socket, to: Socket) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val n = from.getInputStream().read(buffer)
                if (n < 0) break
                while (blocked() && !to.isClosed) Thread.sleep(POLL_MILLIS)
                if (!silent) to.getOutputStream().write(buffer, 0, n)
            }
        } catch (_: IOException) {
            // A reset ends the connection as an end of the stream does.
        }
        close()
    }

    companion object {
        /** Interval at which a blocked connection is looked at again. */
        const val POLL_MILLIS = 10L
        private const val BUFFER_BYTES = 16 * 1024
    }
}
