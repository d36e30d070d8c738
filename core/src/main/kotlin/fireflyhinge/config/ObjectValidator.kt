package fireflyhinge.config

import fireflyhinge.address.HostPortValidator
import fireflyhinge.result.ResultCode

/** Validates the field values of configuration objects. */
internal object ObjectValidator {
    private val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
    private val hashPattern = Regex("[0-9a-f]{64}")
    private const val MAX_SLOTS = 10_000

    /** All validation errors of [value]. */
    fun errors(value: ConfigObject): List<ConfigError> =
        listOfNotNull(name("name", value.name)) +
            when (value) {
                is Template -> ParameterValidator.errors(value.parameters)
                is Workspace -> workspace(value)
                is Route -> route(value)
                is Upstream -> upstream(value)
            }

    private fun workspace(value: Workspace): List<ConfigError> =
        listOfNotNull(
            name("template", value.template),
            configError("keyHashes", "must be lower-case hexadecimal SHA-256 hashes")
                .takeUnless { value.keyHashes.all(hashPattern::matches) },
        ) + ParameterValidator.errors(value.parameters)

    private fun route(value: Route): List<ConfigError> =
        listOfNotNull(
            name("service", value.service),
            configError("costTokens", "must be a finite number of at least 0, not ${value.costTokens}")
                .takeUnless { value.costTokens.isFinite() && value.costTokens >= 0 },
            configError("idempotent", "must be true for a model route").takeIf {
                value.kind == RouteKind.MODEL && !value.idempotent
            },
        )

    private fun upstream(value: Upstream): List<ConfigError> {
        val link = value.linkMegabytesPerSecond
        return listOfNotNull(
            name("service", value.service),
            name("region", value.region),
            name("failureDomain", value.failureDomain),
            configError("address", "must be host:port, not '${value.address}'")
                .takeUnless { HostPortValidator.isValid(value.address) },
            configError("slots", "must be 1 to $MAX_SLOTS, not ${value.slots}")
                .takeUnless { value.slots in 1..MAX_SLOTS },
            configError("linkMegabytesPerSecond", "must be a finite number above 0, not $link")
                .takeUnless { link.isFinite() && link > 0 },
        ) + DesiredStateValidator.errors(value)
    }

    private fun name(field: String, value: String): ConfigError? =
        configError(field, "must be 1 to 128 letters, digits, '.', '_' or '-', not '$value'")
            .takeUnless { namePattern.matches(value) }

    private fun configError(field: String, problem: String) = ConfigError(ResultCode.OBJECT_INVALID, field, problem)
}
