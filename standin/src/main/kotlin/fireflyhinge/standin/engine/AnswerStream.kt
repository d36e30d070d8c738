package fireflyhinge.standin.engine

import fireflyhinge.standin.http.SilenceGate
import fireflyhinge.standin.http.connectionNumber
import io.javalin.http.Context
import java.io.IOException

/** Writes an answer bit by bit; tells whether the client's connection is still there. */
internal class AnswerStream(private val ctx: Context, private val silence: SilenceGate, contentType: String) {
    private val connection = ctx.connectionNumber()
    private var lastWrite = System.nanoTime()

    init {
        // The servlet's own stream, because Javalin's wrapper may buffer for compression.
        ctx.res().contentType = contentType
    }

    /** Writes [text] at once unless the connection is silenced; false if the connection is broken. */
    fun write(text: String, until: () -> Boolean): Boolean {
        if (!silence.hold(connection = connection, until = until)) return false
        lastWrite = System.nanoTime()
        return try {
            ctx.res().outputStream.write(text.toByteArray())
            ctx.res().outputStream.flush()
            true
        } catch (_: IOException) {
            false
        }
    }

    /**
     * Writes white space, which JSON allows, if nothing was written for a while; false if the connection is broken. A
     * silenced connection looks intact to the engine.
     */
    fun beat(): Boolean =
        silence.isSilent(connection) || System.nanoTime() - lastWrite < BEAT_NANOS || write(text = " ") { true }

    private companion object {
        const val BEAT_NANOS = 50_000_000L
    }
}
