package fireflyhinge.soak

import java.io.IOException
import java.net.Socket

/** The replica's side of a connection. */
internal class ReplicaWire(private val socket: Socket) {
    /** Bytes to be sent before the next answer. */
    var pending = ""

    fun send(text: String) {
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        socket.getOutputStream().flush()
    }

    /** Sends [head] and then [piece] until the caller closes. */
    fun sendWithoutEnd(head: String, piece: String) {
        send(head)
        try {
            while (true) {
                send(piece)
                Thread.sleep(PAUSE_MILLIS)
            }
        } catch (_: IOException) {
            close()
        }
    }

    fun close() = socket.close()

    /** Ends the connection so that the caller sees an error and not an end. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    private companion object {
        /** Keeps one endless answer from taking a core. */
        const val PAUSE_MILLIS = 2L
    }
}
