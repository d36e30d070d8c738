package fireflyhinge.systemtest

import fireflyhinge.Json
import java.net.Socket

/** Sends one streamed request and closes its connection when it is told to, without reading the answer. */
internal class LeavingCaller(address: String, call: ChatCall) {
    private val socket = Socket(address.substringBefore(':'), address.substringAfter(':').toInt())

    /** Whether a part of the answer has come, which is not before its first token unless the request failed. */
    val answered: Boolean get() = socket.getInputStream().available() > 0

    /** Reads what has come, and returns its begin and end. */
    fun received(): String =
        socket.getInputStream().run { String(readNBytes(available())) }.let {
            if (it.length <= 2 * SHOWN_CHARS) it else "${it.take(SHOWN_CHARS)} ... ${it.takeLast(SHOWN_CHARS)}"
        }

    init {
        val fields = mapOf("model" to call.model, "messages" to call.messages, "max_tokens" to call.maxTokens)
        val body = Json.encode(fields + ("stream" to true)).toByteArray()
        val head =
            listOf(
                "POST /v1/chat/completions HTTP/1.1",
                "Host: $address",
                "Authorization: Bearer ${call.key}",
                "Content-Type: application/json",
                "Content-Length: ${body.size}",
            )
        socket.getOutputStream().apply {
            write((head.joinToString("\r\n") + "\r\n\r\n").toByteArray() + body)
            flush()
        }
    }

    /** Closes the connection. */
    fun leave() = socket.close()

    private companion object {
        const val SHOWN_CHARS = 300
    }
}
