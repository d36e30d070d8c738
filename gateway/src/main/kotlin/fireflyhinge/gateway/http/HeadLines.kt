package fireflyhinge.gateway.http

import io.netty.buffer.ByteBuf

/** Checks that each line of a head behind the first one is a field; the HTTP library takes lines without a colon. */
internal class HeadLines {
    private var lines = 0
    private var length = 0
    private var colon = false

    /** Whether a line was no field. */
    var malformed = false
        private set

    /** A new head begins. */
    fun reset() {
        lines = 0
        length = 0
        colon = false
        malformed = false
    }

    /** Reads bytes [from] up to [until] of [buffer], which belong to the head. */
    fun add(buffer: ByteBuf, from: Int, until: Int) {
        for (index in from until until) {
            when (buffer.getByte(index)) {
                LINE_FEED -> endLine()
                CARRIAGE_RETURN -> Unit
                COLON -> {
                    colon = true
                    length++
                }
                else -> length++
            }
        }
    }

    private fun endLine() {
        if (length > 0 && lines++ > 0 && !colon) malformed = true
        length = 0
        colon = false
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COLON = ':'.code.toByte()
    }
}
