package fireflyhinge.forward

/**
 * Configuration of a workspace.
 *
 * @property limit rate limit over all VMs, in tokens, or in requests without [chargesTokens].
 * @property defaultCost tokens charged for a request without a declared token count.
 * @property chargesTokens whether declared token counts are charged; otherwise every request costs 1.
 * @property allowedRegions home regions: only replicas there may serve its requests; empty means all regions.
 */
data class ForwardWorkspace(
    val name: String,
    val limit: WorkspaceLimit,
    val defaultCost: Int,
    val chargesTokens: Boolean,
    val allowedRegions: Set<String> = emptySet(),
)
