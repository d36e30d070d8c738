package fireflyhinge.slopes

import java.io.BufferedReader
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException

/**
 * Sends requests on one connection for as long as the server keeps it, as connection pools do: before each request it
 * looks whether the server has closed. Not thread-safe.
 *
 * @param portOf port of the server whose address is valid now.
 * @param oneWayMillis network latency that is simulated: the caller learns of a close this much later, and its request
 * arrives this much later.
 */
internal class KeepAliveCaller(private val portOf: () -> Int, private val oneWayMillis: Long) : AutoCloseable {
    private var socket: Socket? = null
    private var reader: BufferedReader? = null

    /** Sends one request. */
    fun call(): CallResult {
        val open = connection() ?: return CallResult.NOT_CONNECTED
        Thread.sleep(2 * oneWayMillis)
        return try {
            open.getOutputStream().write(REQUEST)
            readAnswer()
        } catch (_: IOException) {
            close()
            CallResult.LOST
        }
    }

    override fun close() {
        socket?.close()
        socket = null
    }

    private fun connection(): Socket? {
        socket?.let { if (closedByServer(it)) close() }
        return socket ?: connect()
    }

    private fun connect(): Socket? =
        try {
            Socket("127.0.0.1", portOf()).also {
                socket = it
                reader = it.getInputStream().bufferedReader()
            }
        } catch (_: IOException) {
            null
        }

    private fun closedByServer(socket: Socket): Boolean {
        socket.soTimeout = 1
        return try {
            socket.getInputStream().read() < 0
        } catch (_: SocketTimeoutException) {
            false
        } catch (_: IOException) {
            true
        }
    }

    private fun readAnswer(): CallResult {
        socket?.soTimeout = ANSWER_MILLIS
        val lines = generateSequence { reader?.readLine()?.ifEmpty { null } }.toList()
        val body = CharArray(BODY.length)
        val read = if (lines.isEmpty()) -1 else reader?.read(body) ?: -1
        if (lines.any { it.equals("Connection: close", ignoreCase = true) } || read < 0) close()
        return when {
            lines.isEmpty() || read < 0 -> CallResult.LOST
            lines.first().startsWith("HTTP/1.1 200") && String(body) == BODY -> CallResult.ANSWERED
            else -> CallResult.REFUSED.also { close() }
        }
    }

    companion object {
        /** Body of every answer. */
        const val BODY = "done"
        private const val ANSWER_MILLIS = 5_000
        private val REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray()
    }
}
