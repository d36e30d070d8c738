package fireflyhinge.config

/**
 * Parameters of a template or workspace. A null value is taken from the template, then from the built-in default.
 *
 * @property rate tokens per second over all VMs; at least 0.
 * @property burst tokens; at least 1.
 * @property models models and plain routes that the workspace may use.
 * @property regionShares share of rate and burst by region; the shares add up to at most 1. Null means equal shares.
 * @property serveWhenIsolated whether a VM that cannot confirm keys continues to serve this workspace.
 */
data class WorkspaceParameters(
    val rate: Double? = null,
    val burst: Double? = null,
    val models: List<String>? = null,
    val priority: Priority? = null,
    val regionShares: Map<String, Double>? = null,
    val serveWhenIsolated: Boolean? = null,
)
