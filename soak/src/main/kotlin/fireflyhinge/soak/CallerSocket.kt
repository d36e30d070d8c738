package fireflyhinge.soak

import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException

/** A caller's connection, new or kept. */
internal class CallerSocket(val gateway: GatewayAddress) : AutoCloseable {
    private val socket = Socket()
    private val input: HttpInput

    /** When the last whole answer came. */
    var answeredAt: Long? = null

    init {
        socket.tcpNoDelay = true
        socket.soTimeout = READ_MILLIS
        socket.connect(InetSocketAddress(gateway.host, gateway.front), CONNECT_MILLIS)
        input = HttpInput(socket.getInputStream())
    }

    /** Bytes that came while no request was waiting. */
    fun unasked(): String = input.unread()

    fun send(request: Sent) {
        val body = Expected.requestBody(request.id)
        val headers =
            listOfNotNull(
                "POST ${request.kind.path} HTTP/1.1",
                "Host: ${Configuration.HOST}",
                "X-Request-Id: ${request.id}",
                "Authorization: Bearer ${request.key}",
                "X-Deadline-Ms: $DEADLINE_MILLIS",
                "X-Token-Count: 1000,100".takeIf { request.kind.stream },
                "X-Prompt-Prefix: ${Expected.prompt(request)}".takeIf { request.kind.stream },
                "Content-Length: ${body.length}",
            )
        socket.getOutputStream().write("${headers.joinToString("\r\n")}\r\n\r\n$body".toByteArray())
    }

    /** The answer, or null if none came. An answer that does not end within [LONGEST_BYTES] is left. */
    fun answer(): Reply? {
        val head = input.head() ?: return null
        val body = StringBuilder()
        val whole =
            try {
                input.body(head, closeEnds = true) {
                    body.append(it)
                    if (body.length > LONGEST_BYTES) throw IOException("the answer is too long")
                }
            } catch (_: IOException) {
                false
            }
        return Reply(head.status, head.headers, body.toString(), whole)
    }

    /** Closes after [millis] without an answer, or after a part of it. */
    fun leave(millis: Int) {
        socket.soTimeout = millis
        try {
            input.head()
        } catch (_: SocketTimeoutException) {
            // The caller leaves all the same.
        }
    }

    override fun close() = socket.close()

    private companion object {
        /** Callers allow a second to connect: the platform's protocol, "Answers". */
        const val CONNECT_MILLIS = 1_000
        const val DEADLINE_MILLIS = 4_000

        /** Longer than any request may last. */
        const val READ_MILLIS = 6_000
        const val LONGEST_BYTES = 2_000_000
    }
}
