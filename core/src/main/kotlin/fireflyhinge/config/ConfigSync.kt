package fireflyhinge.config

import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject

/**
 * Anti-entropy between two copies: compares first the digest and recent changes, which account for most differences at
 * little cost, then bucket hashes and the versions in buckets that differ.
 */
object ConfigSync {
    /** Requests of one comparison: recent changes, buckets, objects, and one for objects that changed meanwhile. */
    const val MAX_REQUESTS = 4

    /** Characters of values in one request or response; the rest follows in the next comparison. */
    private const val MAX_CHARACTERS = 4_000_000

    /** First request of a comparison. */
    fun firstRequest(copy: ConfigCopy, from: String): ConfigSyncRequest =
        ConfigSyncRequest(from = from, recent = copy.recentVersions, digest = copy.digest)

    /** Response of [copy], into which the request's objects must already be merged. */
    fun respond(copy: ConfigCopy, request: ConfigSyncRequest): ConfigSyncResponse {
        val differing = differing(copy, request.buckets)
        val newerHere = request.recent.filter { it.isOlderThan(copy.versions(it.objectName())) }
        val newerThere = request.recent.filter { copy.versions(it.objectName()).isOlderThan(it) }
        return ConfigSyncResponse(
            objects = sources(copy, newerHere.map { it.objectName() } + request.wanted),
            wanted = newerThere.map { it.objectName() },
            settled = request.digest?.let { it.after(newerHere, copy) == copy.digest.plus(newerThere, copy) } ?: true,
            differing = differing,
            versions = if (differing.isEmpty()) emptyList() else copy.versionsIn(differing),
        )
    }

    /** Next request of the sender, or null if nothing is left. [copy] must have merged the response's objects. */
    fun nextRequest(copy: ConfigCopy, response: ConfigSyncResponse, from: String): ConfigSyncRequest? {
        val theirs = response.versions.associateBy { it.objectName() }
        val newerHere =
            copy.versionsIn(response.differing)
                .filter { (theirs[it.objectName()] ?: it.copy(version = 0, validVersion = 0)).isOlderThan(it) }
        val newerThere = response.versions.filter { copy.versions(it.objectName()).isOlderThan(it) }
        val request =
            ConfigSyncRequest(
                from = from,
                objects = sources(copy, response.wanted + newerHere.map { it.objectName() }),
                wanted = newerThere.map { it.objectName() },
                buckets = if (response.settled) emptyList() else copy.bucketHashes,
            )
        return request.takeUnless { it == ConfigSyncRequest(from = from) }
    }

    private fun differing(copy: ConfigCopy, theirs: List<Long>): Set<Int> =
        if (theirs.size != copy.bucketHashes.size) {
            emptySet()
        } else {
            theirs.indices.filter { theirs[it] != copy.bucketHashes[it] }.toSet()
        }

    private fun sources(copy: ConfigCopy, names: List<ObjectName>): List<StoredObject> {
        var characters = 0
        return names.distinct().flatMap(copy::sources).takeWhile {
            characters += it.value.length
            characters <= MAX_CHARACTERS || characters == it.value.length
        }
    }

    private fun ObjectVersion.isOlderThan(other: ObjectVersion) =
        version < other.version || validVersion < other.validVersion

    /** Digest of the sender after it has merged the [newer] versions of the receiver's [copy]. */
    private fun ConfigDigest.after(newer: List<ObjectVersion>, copy: ConfigCopy): ConfigDigest =
        newer.fold(this) { digest, theirs -> digest.replace(theirs, copy.versions(theirs.objectName()).max(theirs)) }

    /** Digest of the receiver's [copy] after it has merged the sender's [newer] versions. */
    private fun ConfigDigest.plus(newer: List<ObjectVersion>, copy: ConfigCopy): ConfigDigest =
        newer.fold(this) { digest, theirs ->
            val ours = copy.versions(theirs.objectName())
            digest.replace(ours, theirs.max(ours))
        }

    private fun ObjectVersion.max(other: ObjectVersion) =
        copy(version = maxOf(version, other.version), validVersion = maxOf(validVersion, other.validVersion))

    private fun ConfigDigest.replace(old: ObjectVersion, new: ObjectVersion) =
        ConfigDigest(
            count = count + (if (old.version == 0L) 1 else 0),
            sum = sum - old.version + new.version,
            hash = hash - (if (old.version == 0L) 0 else VersionHash.of(old)) + VersionHash.of(new),
        )
}
