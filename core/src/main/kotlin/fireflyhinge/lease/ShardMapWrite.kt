package fireflyhinge.lease

/**
 * A conditional write of the region's map.
 *
 * @property version version that the object must have, or null if it must be absent.
 * @property map whole value to write.
 * @property changes entries that differ from the version it replaces.
 */
data class ShardMapWrite(val version: Long?, val map: ShardMap, val changes: Map<Int, ShardEntry>)
