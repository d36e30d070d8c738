package fireflyhinge.daemon.fake

import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * A server whose answers are bytes. Connections are kept until [answer] returns false or the client closes.
 *
 * @param answer writes the answer to the request (text) with the number `count` on its connection, counted from 1.
 */
internal class RawServer(
    private val answer: (request: String, count: Int, out: OutputStream) -> Boolean,
) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    /** Bytes that clients took of endless answers. */
    val taken = AtomicLong()

    /** Whether a client closed its connection during an endless answer. */
    @Volatile var givenUp: Boolean = false
        private set
    val address = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) { untilClosed { while (true) listener.accept().let { thread { serve(it) } } } }
    }

    /** Writes [head] and then [piece] until the client closes, at most [most] bytes. */
    fun endless(out: OutputStream, head: String, piece: String, most: Long = MOST) {
        out.write(head.toByteArray())
        val bytes = piece.repeat(CHUNK / piece.length + 1).toByteArray()
        try {
            while (taken.get() < most) {
                out.write(bytes)
                taken.addAndGet(bytes.size.toLong())
            }
        } catch (e: IOException) {
            givenUp = true
            throw e
        }
    }

    private fun serve(socket: Socket) =
        untilClosed {
            socket.use {
                var count = 0
                var open = true
                while (open) {
                    count += 1
                    open = answer(read(it.getInputStream()), count, it.getOutputStream())
                }
            }
        }

    private fun read(input: InputStream): String {
        val text = StringBuilder()
        fun next() = input.read().also { if (it < 0) throw IOException("closed by the client") }.toChar()
        while (!text.endsWith("\r\n\r\n")) text.append(next())
        val length = Regex("(?i)content-length: (\\d+)").find(text)?.groupValues?.get(1)?.toInt() ?: 0
        repeat(length) { text.append(next()) }
        return text.toString()
    }

    private fun untilClosed(action: () -> Unit) {
        try {
            action()
        } catch (_: IOException) {
            return
        }
    }

    override fun close() = listener.close()

    companion object {
        private const val CHUNK = 8_192

        /** Far above every limit of an answer. */
        const val MOST = 300_000_000L

        /** An answer to [request] that names it by the header of its call, if it has one. */
        fun json(request: String, body: String, status: String = "200 OK"): String =
            "HTTP/1.1 $status\r\n${echo(request)}Content-Length: ${body.length}\r\n\r\n$body"

        /** The header by which an answer names [request], if it has one. */
        fun echo(request: String): String =
            Regex("(?im)^x-fireflyhinge-call: .*\r\n").find(request)?.value.orEmpty()
    }
}
