package fireflyhinge.daemon.engine

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json
import fireflyhinge.daemon.outbound.Exchange
import fireflyhinge.daemon.outbound.HttpReply
import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineResult

/** Meaning of the engines' answers. */
internal object EngineReplies {
    private const val GONE = 410
    private const val CANCELLED = 499
    private const val UNAVAILABLE = 503
    private val success = 200..299
    private val clientErrors = 400..499

    /** Result of a call that ended as [exchange]. */
    fun <T> resultOf(exchange: Exchange, decode: (String) -> T): EngineResult<T> =
        when (exchange) {
            is Exchange.Answered -> resultOf(reply = exchange.reply, decode = decode)
            is Exchange.NotSent -> EngineResult.Failed(EngineFailure.Unreachable(exchange.reason, exchange.refused))
            is Exchange.NoAnswer -> EngineResult.Failed(EngineFailure.Broken(exchange.reason))
            is Exchange.Interrupted -> EngineResult.Failed(EngineFailure.Cancelled)
        }

    /** The failure that an answer other than 2xx stands for. */
    fun failureOf(reply: HttpReply): EngineFailure =
        when (reply.status) {
            CANCELLED -> EngineFailure.Cancelled
            GONE -> EngineFailure.Expired(reply.body)
            UNAVAILABLE, in clientErrors -> EngineFailure.Refused(status = reply.status, reason = reply.body)
            else -> EngineFailure.Broken("status ${reply.status}: ${reply.body}")
        }

    private fun <T> resultOf(reply: HttpReply, decode: (String) -> T): EngineResult<T> =
        try {
            when {
                reply.status !in success -> EngineResult.Failed(failureOf(reply))
                isCancelled(reply) -> EngineResult.Failed(EngineFailure.Cancelled)
                else -> EngineResult.Ok(decode(reply.body))
            }
        } catch (e: JsonProcessingException) {
            EngineResult.Failed(EngineFailure.Broken("malformed answer: ${e.originalMessage}"))
        }

    // The status of a prefill is sent before its end, so that a cancel during it can only show in the body.
    private fun isCancelled(reply: HttpReply): Boolean =
        reply.body.isNotBlank() && Json.decode<JsonNode>(reply.body)["error"]?.asText() == "cancelled"
}
