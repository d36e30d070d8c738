package fireflyhinge.daemon.admin

import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.config.ConfigError
import fireflyhinge.config.ConfigObject
import fireflyhinge.config.ObjectDecoder
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.store.ObjectName

/** Turns operators' input into values for the store. */
internal object ObjectInput {
    /** Fields that the daemon sets; an operator's input must not contain them. */
    private val reserved = setOf("changeId", "deleted", "keyHashes")

    /** Validates [body] as the new value of [name] and lists all faults at once. */
    fun validate(name: ObjectName, body: ObjectNode, options: ChangeOptions): Outcome<Pair<ConfigObject, String>> {
        val given =
            body.fieldNames().asSequence().filter { it in reserved }.map {
                ConfigError(ResultCode.OBJECT_INVALID, it, "is set by the daemon")
            }
        val tree = body.deepCopy()
        if (!tree.has("name")) tree.put("name", name.name)
        tree.put("changeId", options.changeId)
        return finish(name, tree, given.toList())
    }

    /** Validates [tree], which has all fields. */
    fun finish(
        name: ObjectName,
        tree: ObjectNode,
        faults: List<ConfigError> = emptyList(),
    ): Outcome<Pair<ConfigObject, String>> {
        val text = tree.toString()
        val decoded = ObjectDecoder.decode(name.kind, text, strict = true)
        val value = decoded.value
        val all = faults + decoded.errors + listOfNotNull(value?.let { misnamed(name, it) })
        return if (value == null || all.isNotEmpty()) failure(all) else Outcome.Success(value to text)
    }

    /** One failure for all [faults]; its code is that of the most general fault. */
    fun failure(faults: List<ConfigError>): Outcome.Failure {
        val order = listOf(ResultCode.OBJECT_TOO_LARGE, ResultCode.OBJECT_INVALID)
        val code = order.find { code -> faults.any { it.code == code } } ?: faults.first().code
        return Outcome.Failure(code, faults.joinToString("; "))
    }

    private fun misnamed(name: ObjectName, value: ConfigObject): ConfigError? =
        ConfigError(ResultCode.OBJECT_INVALID, "name", "must be '${name.name}'").takeIf { value.name != name.name }
}
