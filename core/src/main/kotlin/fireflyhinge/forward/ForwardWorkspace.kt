package fireflyhinge.forward

/**
 * A workspace of callers.
 *
 * @property limit rate over all VMs, in [defaultCost]'s unit.
 * @property defaultCost tokens that a request without a declared token count costs.
 * @property chargesTokens whether declared token counts are charged; otherwise every request costs [defaultCost].
 */
data class ForwardWorkspace(
    val name: String,
    val limit: WorkspaceLimit,
    val defaultCost: Int,
    val chargesTokens: Boolean,
)
