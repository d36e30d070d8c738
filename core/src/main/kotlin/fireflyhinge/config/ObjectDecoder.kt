package fireflyhinge.config

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.Json
import fireflyhinge.result.ResultCode

/** Decodes and validates configuration objects. */
object ObjectDecoder {
    /** Largest value that the platform store accepts, in bytes. */
    const val MAX_BYTES = 1_000_000

    private val types =
        mapOf(
            ConfigKinds.TEMPLATES to Template::class.java,
            ConfigKinds.WORKSPACES to Workspace::class.java,
            ConfigKinds.ROUTES to Route::class.java,
            ConfigKinds.UPSTREAMS to Upstream::class.java,
        )

    /**
     * Decodes [text] as an object of [kind] and reports every error. With [strict], used for operators' input, unknown
     * fields are errors too. Objects from the store may have them, as a newer version may have written them.
     */
    fun decode(kind: String, text: String, strict: Boolean = false): DecodedObject {
        val type = types[kind] ?: return invalid("kind", "must be one of ${types.keys}")
        if (text.toByteArray().size > MAX_BYTES) {
            return DecodedObject(
                null,
                listOf(ConfigError(ResultCode.OBJECT_TOO_LARGE, "value", "must be at most 1 MB"))
            )
        }
        val tree =
            try {
                Json.mapper.readTree(text) as? ObjectNode ?: return invalid("value", "must be a JSON object")
            } catch (e: JsonProcessingException) {
                return invalid("value", "must be JSON: ${e.originalMessage}")
            }
        return decode(type, tree, strict)
    }

    private fun decode(type: Class<out ConfigObject>, tree: ObjectNode, strict: Boolean): DecodedObject {
        val fieldErrors = FieldValidator(strict).validate(tree, type)
        val missing = fieldErrors.any { it.problem == FieldValidator.REQUIRED }
        val value =
            try {
                if (missing) null else Json.mapper.convertValue(tree, type)
            } catch (e: IllegalArgumentException) {
                val error = configError("value", "must have the fields of its kind: ${e.message}")
                return DecodedObject(null, fieldErrors + error)
            }
        val errors = fieldErrors + value?.let(ObjectValidator::errors).orEmpty()
        return DecodedObject(value.takeIf { errors.isEmpty() }, errors)
    }

    private fun invalid(field: String, problem: String) =
        DecodedObject(null, listOf(configError(field, problem)))

    private fun configError(field: String, problem: String) = ConfigError(ResultCode.OBJECT_INVALID, field, problem)
}
