package fireflyhinge.config

/**
 * A workspace with its template applied.
 *
 * @property rate tokens per second over all VMs.
 * @property burst tokens.
 * @property regionShares share of rate and burst by region; empty means equal shares of the regions that have VMs.
 */
data class ResolvedWorkspace(
    val name: String,
    val rate: Double,
    val burst: Double,
    val models: Set<String>,
    val priority: Priority,
    val regionShares: Map<String, Double>,
    val serveWhenIsolated: Boolean,
    val keyHashes: Set<String>,
)
