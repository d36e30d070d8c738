package fireflyhinge.quota

import fireflyhinge.config.ResolvedWorkspace

/** Divides the rate and burst of a workspace among regions. */
object RegionShares {
    /**
     * Share of [region] when [regions] have shard maps. The shares do not depend on health, so that regions that cannot
     * reach each other compute the same division. Configured shares that add up to more than 1 are scaled down.
     */
    fun shareOf(workspace: ResolvedWorkspace, region: String, regions: Set<String>): Double {
        val shares = workspace.regionShares
        if (shares.isEmpty()) return 1.0 / (regions + region).size
        return (shares[region] ?: 0.0) / maxOf(1.0, shares.values.sum())
    }
}
