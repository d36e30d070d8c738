package fireflyhinge.lease

/**
 * A conditional write of the region's map.
 *
 * @property version version that the stored object must have, or null if the object must not exist.
 * @property map complete map to write.
 * @property changes entries that differ from the replaced version, by shard number.
 */
data class ShardMapWrite(val version: Long?, val map: ShardMap, val changes: Map<Int, ShardEntry>)
