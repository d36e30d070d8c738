package fireflyhinge.forward

/**
 * A workspace of callers.
 *
 * @property limit rate over all VMs, in [plainCost]'s unit.
 * @property plainCost tokens that a request without a declared token count costs.
 * @property countsTokens whether declared token counts are charged; otherwise every request costs [plainCost].
 */
data class ForwardWorkspace(
    val name: String,
    val limit: WorkspaceLimit,
    val plainCost: Int,
    val countsTokens: Boolean,
)
