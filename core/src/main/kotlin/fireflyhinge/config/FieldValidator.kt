package fireflyhinge.config

import com.fasterxml.jackson.databind.introspect.BeanPropertyDefinition
import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.Json
import fireflyhinge.result.ResultCode

/**
 * Validates names and types of an object's fields one by one, so that all errors are reported and not only the first.
 */
internal class FieldValidator(private val strict: Boolean) {
    /** Validates [tree] against [type], removes the invalid fields from it and returns the errors. */
    fun validate(tree: ObjectNode, type: Class<*>, prefix: String = ""): List<ConfigError> {
        val known = propertiesOf(type)
        val errors = mutableListOf<ConfigError>()
        tree.fieldNames().asSequence().toList().forEach { field ->
            val property = known[field]
            val found = if (property == null) unknown(prefix, field, known.keys) else errorsOf(tree, property, prefix)
            errors += found
            if (found.isNotEmpty() && !tree.path(field).isObject) tree.remove(field)
        }
        return errors + missing(tree, known.values, prefix)
    }

    private fun errorsOf(tree: ObjectNode, property: BeanPropertyDefinition, prefix: String): List<ConfigError> {
        val value = tree.get(property.name)
        val type = property.primaryType
        if (type.rawClass == WorkspaceParameters::class.java && value is ObjectNode) {
            return validate(value, type.rawClass, prefix = "${property.name}.")
        }
        if (value.any { it.isNull }) {
            tree.remove(property.name)
            return listOf(ConfigError(ResultCode.OBJECT_INVALID, prefix + property.name, "must not contain null"))
        }
        return try {
            Json.mapper.readerFor(type).readValue<Any?>(value)
            emptyList()
        } catch (e: java.io.IOException) {
            tree.remove(property.name)
            listOf(invalid(prefix + property.name, "must be ${describe(type.rawClass)}, not $value", e))
        }
    }

    private fun unknown(prefix: String, field: String, allowed: Set<String>): List<ConfigError> {
        if (!strict) return emptyList()
        val parameter = prefix.isNotEmpty()
        val code = if (parameter) ResultCode.UNKNOWN_TEMPLATE_PARAMETER else ResultCode.OBJECT_INVALID
        return listOf(ConfigError(code, prefix + field, "is not known; allowed: ${allowed.sorted()}"))
    }

    private fun missing(
        tree: ObjectNode,
        properties: Collection<BeanPropertyDefinition>,
        prefix: String,
    ): List<ConfigError> =
        properties
            .filter { it.isRequired && !tree.hasNonNull(it.name) }
            .map { ConfigError(ResultCode.OBJECT_INVALID, prefix + it.name, REQUIRED) }

    private fun invalid(field: String, problem: String, cause: java.io.IOException): ConfigError =
        ConfigError(ResultCode.OBJECT_INVALID, field, "$problem (${cause.javaClass.simpleName})")

    private fun describe(type: Class<*>): String =
        when {
            type.isEnum -> "one of ${type.enumConstants.toList()}"
            Map::class.java.isAssignableFrom(type) -> "an object"
            Collection::class.java.isAssignableFrom(type) -> "a list"
            else -> "a ${type.simpleName}"
        }

    companion object {
        /** [ConfigError.problem] of a field without a value. */
        const val REQUIRED = "is required"

        private fun propertiesOf(type: Class<*>): Map<String, BeanPropertyDefinition> {
            val mapper = Json.mapper
            val config = mapper.deserializationConfig
            return config.introspect(mapper.constructType(type))
                .findProperties()
                .associateBy { it.name }
        }
    }
}
