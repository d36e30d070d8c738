package fireflyhinge.daemon.engine

import fireflyhinge.Json
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.daemon.outbound.SendMark
import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineResult
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

/** Calls to engines. Requests carry only what is passed here, so no header of a caller can reach an engine. */
internal class EngineCalls(private val http: OutboundHttp) {
    fun url(address: String, path: String): HttpUrl = "http://$address/$path".toHttpUrl()

    /** Sends [body] at most once, and not at all if [permitted] is false when the connection is open. */
    fun <T> post(
        url: HttpUrl,
        body: Any,
        timeoutMillis: Long,
        permitted: () -> Boolean = { true },
        decode: (String) -> T,
    ): EngineResult<T> {
        val exchange = http.exchange(postOf(url, body), timeoutMillis, idempotent = false, permitted = permitted)
        return EngineReplies.resultOf(exchange, decode)
    }

    /** Sends [request] and, if no answer came, once more on a new connection. */
    fun <T> repeatable(request: Request, timeoutMillis: Long, decode: (String) -> T): EngineResult<T> =
        EngineReplies.resultOf(http.exchange(request, timeoutMillis, idempotent = true), decode)

    /** Sends [request] on an open or a new connection and hands the events to the session made by [sessionOf]. */
    fun stream(
        url: HttpUrl,
        request: DecodeRequest,
        newConnection: Boolean,
        sessionOf: (DecodeReader) -> DecodeSession,
    ): EngineResult<DecodeEvent.End> {
        val reader = DecodeReader(request, SendMark(checkConnection = !newConnection))
        val call = http.open(request = postOf(url, request), mark = reader.mark, newConnection = newConnection)
        var result: EngineResult<DecodeEvent.End> = EngineResult.Failed(EngineFailure.Cancelled)
        try {
            call.enqueue(reader)
            result = sessionOf(reader).run()
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        } finally {
            // Also after an exception of the callback. A complete stream is left to its reader, so that its connection
            // can be used again.
            if (result !is EngineResult.Ok) call.cancel()
        }
        return result
    }

    private fun postOf(url: HttpUrl, body: Any): Request =
        Request.Builder().url(url).post(Json.encode(body).toRequestBody(JSON)).build()

    private companion object {
        val JSON = "application/json".toMediaType()
    }
}
