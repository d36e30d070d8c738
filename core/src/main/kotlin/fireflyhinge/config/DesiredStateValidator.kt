package fireflyhinge.config

import fireflyhinge.result.ResultCode

/** Validates the desired state of an upstream. */
internal object DesiredStateValidator {
    private const val MAX_NAMES = 64
    private val pattern = Regex("[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}")

    /** All validation errors of the desired state in [value]. */
    fun errors(value: Upstream): List<ConfigError> =
        listOfNotNull(
            names("models", value.models),
            names("adapters", value.adapters),
            value.modelVersion?.let { version ->
                configError("modelVersion", "must be a name of 1 to 128 characters, not '$version'")
                    .takeUnless { pattern.matches(version) }
            },
        ) + plainService(value)

    private fun names(field: String, names: List<String?>?): ConfigError? {
        val valid = names.orEmpty().all { it != null && pattern.matches(it) }
        val unique = names.orEmpty().distinct().size == names.orEmpty().size
        return configError(field, "must be at most $MAX_NAMES different names of 1 to 128 characters, not $names")
            .takeUnless { valid && unique && names.orEmpty().size <= MAX_NAMES }
    }

    /** A plain service has no engine that could execute orders. */
    private fun plainService(value: Upstream): List<ConfigError> =
        mapOf("models" to value.models, "adapters" to value.adapters, "modelVersion" to value.modelVersion)
            .filterValues { it != null && value.role == UpstreamRole.SERVICE }
            .map { configError(it.key, "must not be set for an upstream with role SERVICE") }

    private fun configError(field: String, problem: String) = ConfigError(ResultCode.OBJECT_INVALID, field, problem)
}
