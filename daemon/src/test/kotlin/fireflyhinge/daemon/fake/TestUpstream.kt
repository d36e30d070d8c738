package fireflyhinge.daemon.fake

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A plain service that records each request as text, and answers as [respond] says; null closes without an answer. */
class TestUpstream(var respond: (request: String) -> String? = { ok("sold") }) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    val requests = CopyOnWriteArrayList<String>()
    val address = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) { runCatching { while (true) listener.accept().let { thread { serve(it) } } } }
    }

    private fun serve(socket: Socket) =
        socket.use {
            val request = read(it.getInputStream())
            requests.add(request)
            respond(request)?.let { answer -> it.getOutputStream().write(answer.toByteArray()) }
        }

    private fun read(input: InputStream): String {
        val text = StringBuilder()
        while (!text.endsWith("\r\n\r\n")) text.append(input.read().also { check(it >= 0) { "closed early" } }.toChar())
        val length = Regex("(?i)content-length: (\\d+)").find(text)?.groupValues?.get(1)?.toInt() ?: 0
        repeat(length) { text.append(input.read().toChar()) }
        return text.toString()
    }

    override fun close() = listener.close()

    companion object {
        fun ok(body: String, status: String = "200 OK", header: String = "X-Part: 7") =
            "HTTP/1.1 $status\r\nContent-Type: text/plain\r\n$header\r\nContent-Length: ${body.length}\r\n\r\n$body"

        /** An address on which nothing listens. */
        fun refusedAddress(): String = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }
    }
}
