package fireflyhinge.daemon.http

import java.net.Socket
import java.net.SocketTimeoutException

/** Requests and answers as bytes, for what a client library would refuse to send. */
object RawHttp {
    /** Sends [request] on [socket] and reads until the server closes or is silent for [silenceMillis]. */
    fun exchange(socket: Socket, request: String, silenceMillis: Int = 1500): String {
        socket.getOutputStream().write(request.toByteArray(Charsets.ISO_8859_1))
        socket.getOutputStream().flush()
        return drain(socket, silenceMillis)
    }

    fun drain(socket: Socket, silenceMillis: Int = 1500): String {
        socket.soTimeout = silenceMillis
        val text = StringBuilder()
        val buffer = ByteArray(4096)
        try {
            generateSequence { socket.getInputStream().read(buffer).takeIf { it >= 0 } }
                .forEach { text.append(String(buffer, 0, it, Charsets.ISO_8859_1)) }
        } catch (_: SocketTimeoutException) {
            return text.toString()
        }
        return text.toString()
    }

    fun post(path: String, headers: List<String>, body: String = ""): String {
        val lines = listOf("POST $path HTTP/1.1", "Host: h", "Connection: close") + headers
        return lines.joinToString("\r\n", postfix = "\r\n\r\n") + body
    }
}
