package fireflyhinge.gateway.http

import io.netty.buffer.ByteBuf

/**
 * Checks that each line of a response head after the first one is a header field, and that no line contains a status
 * line. Netty's decoder accepts both, so that a truncated head would be joined to the next one.
 */
internal class HeadValidator {
    private var lines = 0
    private var lineLength = 0
    private var colon = false

    /** Characters of [STATUS_LINE] that match the last bytes of the line. */
    private var matched = 0

    /** Whether a line was not a field or contained a status line. */
    var malformed = false
        private set

    /** Prepares for a new head. */
    fun reset() {
        lines = 0
        lineLength = 0
        colon = false
        matched = 0
        malformed = false
    }

    /** Reads the bytes from [from] to [until] (exclusive) of [buffer], which belong to the head. */
    fun add(buffer: ByteBuf, from: Int, until: Int) {
        for (index in from until until) {
            val byte = buffer.getByte(index)
            when (byte) {
                LINE_FEED -> endLine()
                CARRIAGE_RETURN -> Unit
                else -> {
                    if (byte == COLON) colon = true
                    lineLength++
                    match(byte)
                }
            }
        }
    }

    private fun match(byte: Byte) {
        matched =
            when {
                matches(byte, STATUS_LINE[matched]) -> matched + 1
                // The first character of the pattern occurs only once in it, so no shorter match can remain.
                matches(byte, STATUS_LINE[0]) -> 1
                else -> 0
            }
        if (matched < STATUS_LINE.length) return
        matched = 0
        if (lines > 0 || lineLength > STATUS_LINE.length) malformed = true
    }

    private fun matches(byte: Byte, pattern: Char): Boolean =
        if (pattern == DIGIT) byte in ZERO..NINE else byte == pattern.code.toByte()

    private fun endLine() {
        if (lineLength > 0 && lines++ > 0 && !colon) malformed = true
        lineLength = 0
        colon = false
        matched = 0
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COLON = ':'.code.toByte()
        const val ZERO = '0'.code.toByte()
        const val NINE = '9'.code.toByte()
        const val DIGIT = '#'

        /** Start of a status line; `#` stands for a digit. */
        const val STATUS_LINE = "HTTP/1.# ###"
    }
}
