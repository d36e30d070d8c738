package fireflyhinge.config

import fireflyhinge.result.ResultCode
import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList

/**
 * One daemon's copy of all configuration objects. A merge keeps the highest version of each object, so the result does
 * not depend on the order of arrival and versions never decrease. Instances are immutable.
 */
class ConfigCopy private constructor(
    private val entries: PersistentMap<ObjectName, ConfigEntry>,
    private val buckets: PersistentList<Long>,
    private val recent: List<ObjectName>,
    /** Digest of all names and versions. */
    val digest: ConfigDigest,
) {
    /** The effective configuration of this copy. */
    val snapshot: ConfigSnapshot by lazy { SnapshotBuilder.build(entries.values.mapNotNull { it.parsed }) }

    /** Hash of the names and versions in each bucket. */
    val bucketHashes: List<Long> get() = buckets

    /** Merges [incoming] and returns the changes. Objects of kinds that are not replicated are ignored. */
    fun merge(incoming: List<StoredObject>): MergeResult {
        var copy = this
        val changed = mutableListOf<StoredObject>()
        val invalid = mutableMapOf<ObjectName, List<ConfigError>>()
        val replicated = incoming.filter { it.name.kind in ConfigKinds.REPLICATED }
        replicated.filter { copy.entries[it.name].mayUpdate(it) }.forEach { stored ->
            val (entry, errors) = if (stored.isUnicode()) ConfigEntry.of(stored) else null to listOf(NOT_UNICODE)
            val next = entry?.let(copy::join) ?: copy
            if (next !== copy) changed += stored
            if (errors.isNotEmpty()) invalid[stored.name] = errors
            copy = next
        }
        return MergeResult(copy, changed, invalid)
    }

    /** Highest known version of [name], or null if the object is unknown. */
    fun version(name: ObjectName): Long? = entries[name]?.latest?.version

    /** Newest object of [name], which may be a tombstone or invalid. */
    fun stored(name: ObjectName): StoredObject? = entries[name]?.latest

    /** Newest objects of [kind], sorted by name. */
    fun stored(kind: String): List<StoredObject> =
        entries.values.map { it.latest }.filter { it.name.kind == kind }.sortedBy { it.name }

    /** The newest valid object of [name]; a tombstone has `deleted` set. */
    fun parsed(name: ObjectName): ConfigObject? = entries[name]?.parsed

    /** Versions of [name]; zeros if the object is unknown. */
    internal fun versions(name: ObjectName): ObjectVersion =
        entries[name]?.versions ?: ObjectVersion(name.kind, name.name, version = 0)

    /** Names and versions of the objects in [buckets]. */
    internal fun versionsIn(buckets: Set<Int>): List<ObjectVersion> =
        entries.values.map { it.versions }.filter { VersionHash.bucket(it.kind, it.name) in buckets }

    /** Names and versions of the most recently changed objects, the latest change first. */
    internal val recentVersions: List<ObjectVersion> get() = recent.map(::versions)

    /** Stored objects of [name] from which another copy can reproduce its state. */
    internal fun sources(name: ObjectName): List<StoredObject> = entries[name]?.sources.orEmpty()

    private fun join(incoming: ConfigEntry): ConfigCopy {
        val name = incoming.latest.name
        val held = entries[name]
        val joined = held?.join(incoming) ?: incoming
        if (joined === held) return this
        val hashChange = VersionHash.of(joined.versions) - (held?.let { VersionHash.of(it.versions) } ?: 0)
        val bucket = VersionHash.bucket(name.kind, name.name)
        return ConfigCopy(
            entries = entries.put(name, joined),
            buckets = buckets.set(bucket, buckets[bucket] + hashChange),
            recent = (listOf(name) + (recent - name)).take(RECENT_LIMIT),
            digest =
            ConfigDigest(
                count = digest.count + if (held == null) 1 else 0,
                sum = digest.sum + joined.latest.version - (held?.latest?.version ?: 0),
                hash = digest.hash + hashChange,
            ),
        )
    }

    companion object {
        private val NOT_UNICODE = ConfigError(ResultCode.OBJECT_INVALID, "value", "must be Unicode text")

        /** Recent changes that are sent to a peer before whole buckets are compared. */
        const val RECENT_LIMIT = 16

        /** A copy without objects. */
        val EMPTY =
            ConfigCopy(
                entries = persistentHashMapOf(),
                buckets = List(VersionHash.BUCKETS) { 0L }.toPersistentList(),
                recent = emptyList(),
                digest = ConfigDigest(),
            )
    }
}
