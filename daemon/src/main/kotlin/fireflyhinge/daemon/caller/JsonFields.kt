package fireflyhinge.daemon.caller

import com.fasterxml.jackson.databind.JsonNode
import kotlin.contracts.ExperimentalContracts
import kotlin.contracts.contract

/** Throws [InvalidField] with [message] unless [condition] holds. */
@OptIn(ExperimentalContracts::class)
internal inline fun check(condition: Boolean, message: () -> String) {
    contract { returns() implies condition }
    if (!condition) throw InvalidField(message())
}

/** The field [name], or null when it is absent or null. */
internal fun JsonNode.given(name: String): JsonNode? = get(name)?.takeUnless { it.isNull }

/** The required text field [name]. */
internal fun JsonNode.text(name: String, path: String): String {
    val node = given(name)
    check(node != null && node.isTextual && node.textValue().isNotEmpty()) { "$path: must be a string." }
    return node.textValue()
}

/** The optional truth value [name]. */
internal fun JsonNode.flag(name: String, path: String): Boolean? {
    val node = given(name) ?: return null
    check(node.isBoolean) { "$path: must be true or false." }
    return node.booleanValue()
}

/** The optional whole number [name] within [range]. */
internal fun JsonNode.whole(name: String, range: IntRange): Int? {
    val node = given(name) ?: return null
    val valid = node.isInt && node.intValue() in range
    check(valid) { "$name: must be a whole number from ${range.first} to ${range.last}." }
    return node.intValue()
}
