package fireflyhinge.daemon.lease

import com.fasterxml.jackson.core.JsonProcessingException
import fireflyhinge.Json
import fireflyhinge.lease.ShardEntry
import fireflyhinge.lease.ShardMap
import fireflyhinge.lease.VersionedShardMap
import fireflyhinge.store.StoredObject
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/** The newest known copy of each region's shard map. Thread-safe. */
internal class ShardMaps {
    private val copies = ConcurrentHashMap<String, Pair<StoredObject, VersionedShardMap>>()

    /** The copies as stored objects, sorted by name. */
    val objects: List<StoredObject> get() = copies.values.map { it.first }.sortedBy { it.name }

    /** Regions with a map. */
    val regions: Set<String> get() = copies.keys.toSet()

    /** Takes [copy] and returns the map if it is newer than the known one. */
    fun learn(copy: StoredObject): VersionedShardMap? {
        if (copy.name.kind != ShardMap.KIND) return null
        val map = decode(copy) ?: return null
        if (copy.name != ShardMap.nameOf(map.region)) {
            log.warn("shard map {} version {} is that of region {}", copy.name, copy.version, map.region)
            return null
        }
        val newer = copy to VersionedShardMap(version = copy.version, map = map)
        val kept =
            copies.merge(map.region, newer) { old, new -> if (new.second.version > old.second.version) new else old }
        return newer.second.takeIf { kept === newer }
    }

    /** Entry of [shard] in [region], or null if it is not known. */
    fun entry(region: String, shard: Int): ShardEntry? = copies[region]?.second?.map?.shards?.getOrNull(shard)

    private fun decode(copy: StoredObject): ShardMap? =
        try {
            Json.decode<ShardMap>(copy.value)
        } catch (e: JsonProcessingException) {
            log.warn("shard map {} version {} cannot be decoded: {}", copy.name, copy.version, e.originalMessage)
            null
        }

    private companion object {
        val log = LoggerFactory.getLogger(ShardMaps::class.java)
    }
}
