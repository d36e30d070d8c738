package fireflyhinge.daemon.outbound

import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream
import java.net.ProtocolException
import java.net.Socket

/**
 * A socket on which each answer starts with an HTTP version and has at most the bytes that were allowed for it. OkHttp
 * does not bound the line before a chunk, and takes the status line of another protocol.
 */
internal class AnswerSocket : Socket() {
    @Volatile private var left = 0L

    @Volatile private var matched = 0

    /** Expects an answer of at most [bytes], framing included. */
    fun expectAnswer(bytes: Long) {
        left = bytes
        matched = 0
    }

    /** Allows [bytes] for the rest of the answer. */
    fun allow(bytes: Long) {
        left = bytes
    }

    override fun getInputStream(): InputStream = Input(super.getInputStream())

    private inner class Input(source: InputStream) : FilterInputStream(source) {
        override fun read(): Int {
            val single = ByteArray(1)
            return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
        }

        override fun read(b: ByteArray, off: Int, len: Int): Int {
            if (left <= 0) throw IOException("the answer is longer than its limit")
            val count = super.read(b, off, minOf(len.toLong(), left).toInt())
            if (count > 0) {
                left -= count
                match(b, off, count)
            }
            return count
        }

        private fun match(b: ByteArray, off: Int, count: Int) {
            val compared = minOf(count, VERSION.length - matched)
            for (i in 0 until compared) {
                if (b[off + i] != VERSION[matched + i].code.toByte()) throw ProtocolException("no HTTP answer")
            }
            matched += compared
        }
    }

    private companion object {
        const val VERSION = "HTTP/1."
        const val BYTE_MASK = 0xff
    }
}
