package fireflyhinge.gateway.http

import java.net.InetAddress
import java.net.Socket

/** A caller connection over a plain socket. */
internal class RawCaller(port: Int) : AutoCloseable {
    private val socket = Socket(InetAddress.getLoopbackAddress(), port).apply { soTimeout = TIMEOUT_MILLIS }

    fun send(text: String) {
        socket.getOutputStream().write(text.toByteArray())
    }

    /** Reads until the other side closes. */
    fun rest(): String = String(socket.getInputStream().readAllBytes())

    /** Reads the next [length] bytes. */
    fun next(length: Int): String = String(socket.getInputStream().readNBytes(length))

    /** Reads up to and including [end], or to the end of the stream if [end] does not occur. */
    fun until(end: String): String {
        val read = StringBuilder()
        while (!read.endsWith(end)) read.append(socket.getInputStream().read().takeIf { it >= 0 }?.toChar() ?: break)
        return read.toString()
    }

    override fun close() = socket.close()

    companion object {
        private const val TIMEOUT_MILLIS = 10_000

        /** A complete request for [path]. */
        fun request(path: String): String = "GET $path HTTP/1.1\r\nHost: a\r\n\r\n"
    }
}
