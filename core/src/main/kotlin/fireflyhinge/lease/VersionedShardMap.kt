package fireflyhinge.lease

/** A region's map with the [version] that the store assigned to it. */
data class VersionedShardMap(val version: Long, val map: ShardMap)
