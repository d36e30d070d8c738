package fireflyhinge.ctl

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.Json

/** Turns `--set name=value` options into JSON. */
internal object Assignments {
    private val listParameters = setOf("models")

    /**
     * Fields of [assignments]. A value that reads as JSON (number, true, null, list, object) is taken as such, any
     * other one as text; `models` is a list separated by commas.
     */
    fun parse(assignments: Map<String, String>): ObjectNode {
        val tree = Json.mapper.createObjectNode()
        assignments.forEach { (name, value) -> tree.set<ObjectNode>(name, value(name, value)) }
        return tree
    }

    private fun value(name: String, value: String): JsonNode {
        val parsed = runCatching { Json.mapper.readTree(value) }.getOrNull()?.takeIf { value.isNotBlank() }
        val list = name in listParameters && parsed?.isArray != true && parsed?.isNull != true
        return when {
            list -> Json.mapper.valueToTree(value.split(',').map { it.trim() }.filter { it.isNotEmpty() })
            parsed != null && !parsed.isMissingNode -> parsed
            else -> Json.mapper.nodeFactory.textNode(value)
        }
    }
}
