package fireflyhinge.config

import fireflyhinge.result.ResultCode

/** Ranges of the desired state of an upstream. */
internal object DesiredStateRules {
    private const val MAX_NAMES = 64
    private val pattern = Regex("[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}")

    /** All faults of the desired state in [value]. */
    fun faults(value: Upstream): List<ConfigFault> =
        listOfNotNull(
            names("models", value.models),
            names("adapters", value.adapters),
            value.modelVersion?.let { version ->
                fault("modelVersion", "must be a name of 1 to 128 characters, not '$version'")
                    .takeUnless { pattern.matches(version) }
            },
        ) + plainService(value)

    private fun names(field: String, names: List<String?>?): ConfigFault? {
        val valid = names.orEmpty().all { it != null && pattern.matches(it) }
        val unique = names.orEmpty().distinct().size == names.orEmpty().size
        return fault(field, "must be at most $MAX_NAMES different names of 1 to 128 characters, not $names")
            .takeUnless { valid && unique && names.orEmpty().size <= MAX_NAMES }
    }

    /** A plain service has no engine that could take orders. */
    private fun plainService(value: Upstream): List<ConfigFault> =
        mapOf("models" to value.models, "adapters" to value.adapters, "modelVersion" to value.modelVersion)
            .filterValues { it != null && value.role == UpstreamRole.SERVICE }
            .map { fault(it.key, "must not be set for an upstream with role SERVICE") }

    private fun fault(field: String, problem: String) = ConfigFault(ResultCode.OBJECT_INVALID, field, problem)
}
