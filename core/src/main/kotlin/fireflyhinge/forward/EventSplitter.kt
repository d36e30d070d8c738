package fireflyhinge.forward

import java.io.ByteArrayOutputStream

/**
 * Splits the bytes of a `text/event-stream` body into complete events. A replica may stop inside an event, and a
 * caller must never receive part of one. Not thread-safe.
 */
class EventSplitter {
    private val pending = ByteArrayOutputStream()
    private var lineLength = 0
    private var number: Long? = null
    private var fields = false
    private var wellFormed = true
    private val line = StringBuilder()

    /** Whether an incomplete event is buffered. */
    val partial: Boolean get() = pending.size() > 0

    /** Whether the buffered event exceeds the size limit; no more of the body may be added then. */
    val oversized: Boolean get() = pending.size() > MAX_EVENT_BYTES

    /** Adds [bytes] and returns the events they complete. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        val events = ArrayList<StreamEvent>()
        for (byte in bytes) {
            pending.write(byte.toInt())
            when (byte) {
                LINE_FEED -> endLine()?.let { events += it }
                CARRIAGE_RETURN -> Unit
                else -> {
                    lineLength++
                    if (line.length < MAX_ID_LINE) line.append(byte.toInt().toChar())
                }
            }
        }
        return events
    }

    private fun endLine(): StreamEvent? {
        if (lineLength == 0) {
            val event = StreamEvent(number.takeIf { wellFormed }, pending.toByteArray(), comment = !fields)
            pending.reset()
            number = null
            fields = false
            wellFormed = true
            // An empty line between events belongs to no event.
            return event.takeIf { it.bytes.size > MAX_EMPTY_LINE_BYTES }
        }
        if (!line.startsWith(COMMENT)) fields = true
        if (!isField()) wellFormed = false
        if (line.startsWith(ID_FIELD)) number = line.substring(ID_FIELD.length).trim().toLongOrNull()
        line.setLength(0)
        lineLength = 0
        return null
    }

    /** Whether [line] is `name:...`, or a field name that may appear without a colon. */
    private fun isField(): Boolean {
        val colon = line.indexOf(COMMENT)
        if (colon < 0) return line.toString() in FIELDS_WITHOUT_COLON
        return (0 until colon).all { line[it].isLetterOrDigit() || line[it] in NAME_PUNCTUATION }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        const val COMMENT = ":"
        const val NAME_PUNCTUATION = "-_"
        val FIELDS_WITHOUT_COLON = setOf("data", "event", "id", "retry")

        /** Characters of a line that are buffered to parse an id; longer lines are data. */
        const val MAX_ID_LINE = 64
        const val MAX_EMPTY_LINE_BYTES = 2

        /** 100 times the largest event in the platform's documentation (2,000 bytes). */
        const val MAX_EVENT_BYTES = 200_000
    }
}
