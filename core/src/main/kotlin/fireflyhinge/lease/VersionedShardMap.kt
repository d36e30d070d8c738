package fireflyhinge.lease

/** A copy of a region's map with the [version] that the store gave it; null if the store holds none. */
data class VersionedShardMap(val version: Long, val map: ShardMap)
