package fireflyhinge.soak

import java.io.BufferedInputStream
import java.io.InputStream

/**
 * Reads HTTP messages byte by byte. A library's parser would hide what the checks look for: bytes between messages, and
 * bodies that end early.
 */
internal class HttpInput(input: InputStream) {
    /** A head: its first line and its headers by lower-case name. */
    class Head(val first: String, val headers: Map<String, String>) {
        /** Status of an answer, 0 if there is none. */
        val status: Int get() = first.split(' ').getOrNull(1)?.toIntOrNull() ?: 0
    }

    private val bytes = BufferedInputStream(input)

    /** Bytes that have arrived and were not read, at most [PEEK_BYTES]. */
    fun unread(): String {
        val count = minOf(bytes.available(), PEEK_BYTES)
        return String(bytes.readNBytes(count), Charsets.ISO_8859_1)
    }

    /** The next head, or null at the end of the connection. */
    fun head(): Head? {
        val first = line() ?: return null
        val headers = HashMap<String, String>()
        while (true) {
            val line = line() ?: return null
            if (line.isEmpty()) return Head(first, headers)
            headers[line.substringBefore(':').lowercase()] = line.substringAfter(':', "").trim()
        }
    }

    /** Passes the body of [head] to [sink] as it arrives; returns whether it ended as announced. */
    fun body(head: Head, closeEnds: Boolean, sink: (String) -> Unit): Boolean {
        val length = head.headers["content-length"]?.toIntOrNull()
        return when {
            head.headers["transfer-encoding"].equals("chunked", ignoreCase = true) -> chunks(sink)
            length != null -> exactly(length, sink)
            else -> !closeEnds || untilClose(sink)
        }
    }

    private fun exactly(length: Int, sink: (String) -> Unit): Boolean {
        val part = bytes.readNBytes(length)
        sink(String(part, Charsets.ISO_8859_1))
        return part.size == length
    }

    private fun chunks(sink: (String) -> Unit): Boolean {
        while (true) {
            val size = line()?.substringBefore(';')?.trim()?.toIntOrNull(HEX) ?: return false
            if (size > 0 && !exactly(size, sink)) return false
            if (line() == null) return false
            if (size == 0) return true
        }
    }

    private fun untilClose(sink: (String) -> Unit): Boolean {
        val buffer = ByteArray(PEEK_BYTES)
        while (true) {
            val count = bytes.read(buffer)
            if (count < 0) return true
            sink(String(buffer, 0, count, Charsets.ISO_8859_1))
        }
    }

    private fun line(): String? {
        val text = StringBuilder()
        while (true) {
            val byte = bytes.read()
            if (byte < 0) return null
            if (byte == '\n'.code) return text.toString().trimEnd('\r')
            text.append(byte.toChar())
        }
    }

    private companion object {
        const val HEX = 16
        const val PEEK_BYTES = 4_096
    }
}
