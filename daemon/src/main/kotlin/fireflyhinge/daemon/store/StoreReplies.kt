package fireflyhinge.daemon.store

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json
import fireflyhinge.daemon.outbound.HttpReply
import fireflyhinge.store.StoreResult
import fireflyhinge.store.StoredObject

/** Meaning of the store's answers. */
internal object StoreReplies {
    private const val OK = 200
    private const val NOT_FOUND = 404
    private const val CONFLICT = 412
    private val rejections = setOf(400, 413, 422, 428)

    /** Statuses with which the store refuses a call before it acts. */
    private val refusals = setOf(429, 503)

    /** Result that [reply] stands for; other statuses leave open whether a write took effect. */
    fun <T> resultOf(reply: HttpReply, decode: (String) -> T): StoreResult<T> =
        try {
            when (reply.status) {
                OK -> StoreResult.Ok(decode(reply.body))
                NOT_FOUND -> StoreResult.NotFound
                CONFLICT -> conflictOf(reply.body)
                in rejections -> StoreResult.Rejected(reply.body)
                in refusals -> StoreResult.Unavailable("status ${reply.status}: ${reply.body}")
                else -> StoreResult.Unknown("status ${reply.status}")
            }
        } catch (e: JsonProcessingException) {
            StoreResult.Unknown("malformed answer: ${e.originalMessage}")
        }

    private fun conflictOf(body: String): StoreResult.Conflict {
        val current = Json.decode<JsonNode>(body)["current"]?.takeIf { !it.isNull }
        return StoreResult.Conflict(current?.let { Json.mapper.treeToValue(it, StoredObject::class.java) })
    }
}
