package fireflyhinge.daemon.caller

import fireflyhinge.Json
import fireflyhinge.daemon.http.errorBody
import fireflyhinge.result.Outcome
import jakarta.servlet.http.HttpServletResponse
import java.io.IOException

/**
 * Sends an answer as server-sent events. Nothing is sent before the first token, so that a request that fails before
 * it gets an HTTP status.
 */
internal class StreamedAnswer(
    private val response: HttpServletResponse,
    private val head: AnswerHead,
) : AnswerSink {
    private val opening = Json.encode(head.fields("chat.completion.chunk")).dropLast(1) + ",\"choices\":[{\"index\":0,"

    /** Whether a part of the answer was sent. */
    var started = false
        private set

    override fun token(text: String): Boolean {
        val role = if (started) "" else "\"role\":\"assistant\","
        start()
        return send("$opening\"delta\":{$role\"content\":${Json.encode(text)}},\"finish_reason\":null}]}")
    }

    /** Sends the last chunk with finish reason and token counts, and the end marker. */
    fun end(answer: ModelResult.Answered) {
        start()
        val reason = Json.encode(answer.finishReason)
        val usage = Json.encode(head.usage(answer))
        send("$opening\"delta\":{},\"finish_reason\":$reason}],\"usage\":$usage}") && send("[DONE]")
    }

    /** Sends the error event that ends an interrupted answer; no end marker follows. */
    fun interrupt(failure: Outcome.Failure) {
        send(errorBody(failure.code, failure.detail, head.requestId))
    }

    private fun start() {
        if (started) return
        started = true
        response.status = HttpServletResponse.SC_OK
        response.contentType = "text/event-stream;charset=utf-8"
        response.setHeader("Cache-Control", "no-cache")
    }

    private fun send(data: String): Boolean =
        try {
            response.outputStream.write("data: $data\n\n".toByteArray())
            response.flushBuffer()
            true
        } catch (_: IOException) {
            false
        }
}
