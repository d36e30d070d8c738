package fireflyhinge.config

import fireflyhinge.result.ResultCode

/** Validates workspace parameters. */
internal object ParameterValidator {
    /** Shares given as decimal fractions may add up to slightly over 1. */
    private const val SHARE_TOLERANCE = 1e-9

    /** Seconds of a region's rate that the quota owner subtracts from its depth; see the design page, "Quota". */
    private const val REPLY_LIMIT_SECONDS = 0.25

    /** All validation errors of [parameters] as given, before a template is applied. */
    fun errors(parameters: WorkspaceParameters): List<ConfigError> =
        listOfNotNull(
            parameters.rate?.let { rate ->
                configError("rate", "must be a finite number of at least 0, not $rate")
                    .takeUnless { rate.isFinite() && rate >= 0 }
            },
            parameters.burst?.let { burst ->
                configError("burst", "must be a finite number of at least 1, not $burst")
                    .takeUnless { burst.isFinite() && burst >= 1 }
            },
            parameters.models?.let { models ->
                configError("models", "must not contain an empty name").takeIf { models.any(String::isBlank) }
            },
            parameters.regionShares?.let(::shares),
        )

    /** All validation errors of [workspace] that can be checked only after its template was applied. */
    fun errors(workspace: ResolvedWorkspace): List<ConfigError> =
        listOfNotNull(
            configError("burst", "must be over rate x $REPLY_LIMIT_SECONDS s = ${workspace.rate * REPLY_LIMIT_SECONDS}")
                .takeIf { workspace.burst <= workspace.rate * REPLY_LIMIT_SECONDS },
        )

    private fun shares(shares: Map<String, Double>): ConfigError? =
        configError("regionShares", "must each be 0 to 1 and add up to at most 1, not $shares")
            .takeUnless { shares.values.all { it in 0.0..1.0 } && shares.values.sum() <= 1 + SHARE_TOLERANCE }

    private fun configError(parameter: String, problem: String) =
        ConfigError(ResultCode.OBJECT_INVALID, "parameters.$parameter", problem)
}
