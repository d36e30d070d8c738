package fireflyhinge.daemon.admin

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.Json
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.store.StoredObject

/** Reads JSON objects from operators and from the store. */
internal object StoredJson {
    /** Change id of [stored], or null if it has none or is not a JSON object. */
    fun changeId(stored: StoredObject?): String? = stored?.let(::tree)?.path("changeId")?.textValue()

    /** Whether [stored] is absent or a tombstone. */
    fun absent(stored: StoredObject?): Boolean =
        stored == null || tree(stored)?.path("deleted")?.booleanValue() == true

    /** The object in [stored], or null if it is not a JSON object. */
    fun tree(stored: StoredObject): ObjectNode? =
        when (val parsed = parse(stored.value)) {
            is Outcome.Success -> parsed.value
            is Outcome.Failure -> null
        }

    /** The JSON object in an operator's [body]. */
    fun parse(body: String): Outcome<ObjectNode> =
        try {
            val tree = Json.mapper.readTree(body) as? ObjectNode
            tree?.let { Outcome.Success(it) } ?: malformed("the body must be a JSON object")
        } catch (e: JsonProcessingException) {
            malformed(e.originalMessage)
        }

    private fun malformed(detail: String) = Outcome.Failure(ResultCode.MALFORMED_JSON, detail)
}
