package fireflyhinge.soak

/** Answers one call, soundly or as [kind] says. */
internal class AnswerScript(
    private val call: ReplicaCall,
    private val stamp: String,
    private val kind: Mischief,
    private val wire: ReplicaWire,
    private val ledger: Ledger,
) {
    private val id = call.id.orEmpty()

    /** Rejects the call without running it. */
    fun reject(status: Int) {
        ledger.answered(id, stamp, status, Mischief.REJECTED)
        wire.send(head(status, "X-Not-Executed: 1", "Content-Length: 0"))
    }

    /** Answers a call that runs nothing for a caller. */
    fun system(body: String) = send(OK, body)

    /** Runs a caller's request. */
    fun run() {
        ledger.began(id, call.path, call.body, call.workspace)
        val kindOfCall = CallKind.entries.find { it.path == call.path }
        val status = if (kind == Mischief.FAILED) FAILED else OK
        ledger.answered(id, stamp, status, kind)
        if (kindOfCall?.stream == true && status == OK && kind in STREAMED) {
            stream()
        } else {
            send(status, body(kindOfCall))
        }
    }

    private fun body(kindOfCall: CallKind?): String {
        if (kindOfCall?.stream != true) return Expected.answerBody(id, stamp)
        return (call.lastEvent + 1..Expected.events(id)).joinToString("") { Expected.event(id, it) }
    }

    private fun stream() {
        val framing = if (kind == Mischief.NO_LENGTH) "Connection: close" else "Transfer-Encoding: chunked"
        if (kind == Mischief.PAUSE_BEFORE_HEAD) pause()
        wire.send(head(OK, "Content-Type: text/event-stream", framing))
        if (kind == Mischief.PAUSE_AFTER_HEAD) pause()
        val last = Expected.events(id)
        for (number in call.lastEvent + 1..last) {
            val event = Expected.event(id, number)
            if (kind == Mischief.BODY_BREAKS_OFF && number == (last + 1) / 2) {
                wire.send(frame(event.take(event.length / 2)))
                Thread.sleep(GAP_MILLIS)
                return wire.reset()
            }
            val middle = number == (last + 1) / 2
            if (kind == Mischief.PAUSE_WITHIN_EVENT && middle) {
                wire.send(frame(event.take(event.length / 2)))
                pause()
                wire.send(frame(event.drop(event.length / 2)))
            } else {
                wire.send(frame(event))
            }
            if (kind == Mischief.PAUSE_BETWEEN_EVENTS && middle) pause()
            Thread.sleep(if (kind == Mischief.SLOW && number == 2) SLOW_MILLIS else GAP_MILLIS)
        }
        if (kind == Mischief.NO_LENGTH) wire.close() else wire.send("0\r\n\r\n")
    }

    private fun frame(text: String) =
        if (kind == Mischief.NO_LENGTH) text else "${text.length.toString(HEX)}\r\n$text\r\n"

    private fun send(status: Int, body: String) {
        val length = "Content-Length: ${body.length}"
        val whole = head(status, length) + body
        when (kind) {
            Mischief.SECOND_ANSWER_LATE -> wire.send(whole).also { wire.pending = whole }
            Mischief.SECOND_ANSWER_NOW -> wire.send(whole + whole)
            Mischief.HEADER_WITHOUT_COLON -> wire.send(head(status, "no header", length) + body)
            Mischief.BODY_BREAKS_OFF -> {
                wire.send(whole.dropLast((body.length + 1) / 2))
                wire.close()
            }
            Mischief.NO_LENGTH -> {
                wire.send(head(status, "Connection: close") + body)
                wire.close()
            }
            Mischief.HEAD_WITHOUT_END -> wire.sendWithoutEnd("HTTP/1.1 200 OK\r\nX-Note: ", "x".repeat(PIECE_BYTES))
            Mischief.BODY_WITHOUT_END -> wire.sendWithoutEnd(head(status, "Connection: close"), body.ifEmpty { "x" })
            Mischief.SLOW -> {
                Thread.sleep(SLOW_MILLIS)
                wire.send(whole)
            }
            in PAUSES -> sendInParts(whole, body.length)
            else -> wire.send(whole)
        }
    }

    private fun sendInParts(whole: String, bodyLength: Int) {
        val last =
            when (kind) {
                Mischief.PAUSE_BEFORE_HEAD -> whole.length
                Mischief.PAUSE_AFTER_HEAD -> bodyLength
                Mischief.PAUSE_BETWEEN_EVENTS -> bodyLength / 2
                else -> 1
            }
        wire.send(whole.dropLast(last))
        pause()
        wire.send(whole.takeLast(last))
    }

    private fun pause() = Thread.sleep(PAUSE_MILLIS + Math.floorMod(id.hashCode(), PAUSE_SPREAD_MILLIS))

    private fun head(status: Int, vararg headers: String): String {
        val own =
            listOfNotNull(
                call.id?.takeIf { kind != Mischief.NO_ID }?.let { "X-Request-Id: $it" },
                call.id?.takeIf { kind != Mischief.NO_STAMP }?.let { "X-Server-Stamp: $stamp" },
            )
        return "HTTP/1.1 $status S\r\n${(own + headers).joinToString("\r\n")}\r\n\r\n"
    }

    private companion object {
        const val OK = 200
        const val FAILED = 500
        const val HEX = 16
        const val PIECE_BYTES = 4_096

        /** Pause between events. */
        const val GAP_MILLIS = 20L

        /** Longer than the time-out of the routes. */
        const val SLOW_MILLIS = 3_600L

        /** A sound replica may fall silent for about a second and go on: the platform's rules. */
        const val PAUSE_MILLIS = 800L
        const val PAUSE_SPREAD_MILLIS = 500
        val PAUSES =
            setOf(
                Mischief.PAUSE_BEFORE_HEAD,
                Mischief.PAUSE_AFTER_HEAD,
                Mischief.PAUSE_BETWEEN_EVENTS,
                Mischief.PAUSE_WITHIN_EVENT,
            )
        val STREAMED = PAUSES + setOf(Mischief.NONE, Mischief.BODY_BREAKS_OFF, Mischief.NO_LENGTH, Mischief.SLOW)
    }
}
