package fireflyhinge.quota

import fireflyhinge.config.ResolvedWorkspace

/** Divides a workspace's rate and burst over regions. */
object RegionShares {
    /**
     * Share of [region] when [regions] have shard maps. The division does not depend on health, so that two regions
     * that cannot hear each other still divide the same way. Configured shares that add up to more than 1 are scaled.
     */
    fun shareOf(workspace: ResolvedWorkspace, region: String, regions: Set<String>): Double {
        val shares = workspace.regionShares
        if (shares.isEmpty()) return 1.0 / (regions + region).size
        return (shares[region] ?: 0.0) / maxOf(1.0, shares.values.sum())
    }
}
