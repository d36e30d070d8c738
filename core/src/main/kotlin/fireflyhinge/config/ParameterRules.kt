package fireflyhinge.config

import fireflyhinge.result.ResultCode

/** Ranges of workspace parameters. */
internal object ParameterRules {
    /** Shares written as decimal fractions may add up to slightly over 1. */
    private const val SHARE_TOLERANCE = 1e-9

    /** Seconds of a region's rate that the quota owner subtracts from its depth; see the design page, "Quota". */
    private const val REPLY_LIMIT_SECONDS = 0.25

    /** All faults of [parameters] as given, before a template is applied. */
    fun faults(parameters: WorkspaceParameters): List<ConfigFault> =
        listOfNotNull(
            parameters.rate?.let { rate ->
                fault("rate", "must be a finite number of at least 0, not $rate")
                    .takeUnless { rate.isFinite() && rate >= 0 }
            },
            parameters.burst?.let { burst ->
                fault("burst", "must be a finite number of at least 1, not $burst")
                    .takeUnless { burst.isFinite() && burst >= 1 }
            },
            parameters.models?.let { models ->
                fault("models", "must not contain an empty name").takeIf { models.any(String::isBlank) }
            },
            parameters.regionShares?.let(::shares),
        )

    /** All faults of [workspace] that only show once its template is applied. */
    fun faults(workspace: ResolvedWorkspace): List<ConfigFault> =
        listOfNotNull(
            fault("burst", "must be over rate x $REPLY_LIMIT_SECONDS s = ${workspace.rate * REPLY_LIMIT_SECONDS}")
                .takeIf { workspace.burst <= workspace.rate * REPLY_LIMIT_SECONDS },
        )

    private fun shares(shares: Map<String, Double>): ConfigFault? =
        fault("regionShares", "must each be 0 to 1 and add up to at most 1, not $shares")
            .takeUnless { shares.values.all { it in 0.0..1.0 } && shares.values.sum() <= 1 + SHARE_TOLERANCE }

    private fun fault(parameter: String, problem: String) =
        ConfigFault(ResultCode.OBJECT_INVALID, "parameters.$parameter", problem)
}
