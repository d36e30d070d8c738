package fireflyhinge.gateway.http

import com.fasterxml.jackson.databind.node.JsonNodeFactory
import fireflyhinge.result.ResultCode
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import java.util.Locale

/** A response that reports a numbered result code, in the format of docs/result-codes.md */
internal class ErrorResponse private constructor(val headers: HttpHeaders, val body: ByteArray) {
    /** The response with [status], announcing that its connection is closed. */
    fun closing(status: Int): FullHttpResponse {
        val response = fullResponse(status, headers, body)
        response.headers().set(HttpHeaderNames.CONNECTION, "close")
        return response
    }

    companion object {
        private const val MILLIS_PER_SECOND = 1000.0

        /** The response for [code]. [retryAfterMillis] tells the caller when to retry. */
        fun of(code: ResultCode, detail: String, requestId: String?, retryAfterMillis: Long? = null): ErrorResponse {
            val error =
                JsonNodeFactory.instance
                    .objectNode()
                    .put("code", code.label)
                    .put("message", if (detail.isEmpty()) code.text else "${code.text} $detail")
                    .put("type", code.name.lowercase())
                    .put("run", code.run.wireName)
                    .put("request_id", requestId)
            val body = JsonNodeFactory.instance.objectNode().set<com.fasterxml.jackson.databind.JsonNode>(
                "error",
                error
            )
            val headers = DefaultHttpHeaders()
            headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            retryAfterMillis?.let { headers.set(HttpHeaderNames.RETRY_AFTER, seconds(it)) }
            return ErrorResponse(headers, body.toString().toByteArray())
        }

        private fun seconds(millis: Long): String = String.format(Locale.ROOT, "%.2f", millis / MILLIS_PER_SECOND)
    }
}
