package fireflyhinge.config

import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject

/**
 * Comparison of two copies: first the digest and recent changes, which explain most differences at little cost, then
 * bucket hashes and the versions in buckets that differ.
 */
object ConfigExchange {
    /** Messages of one comparison: recent changes, buckets, objects, and one more for what became newer meanwhile. */
    const val MAX_MESSAGES = 4

    /** Characters of values in one message; the rest follows in the next comparison. */
    private const val MAX_CHARACTERS = 4_000_000

    /** First message of a comparison. */
    fun opening(copy: ConfigCopy, from: String): ConfigMessage =
        ConfigMessage(from = from, recent = copy.recentVersions, digest = copy.digest)

    /** Answer of [copy], into which the message's objects were merged before. */
    fun answer(copy: ConfigCopy, message: ConfigMessage): ConfigAnswer {
        val differing = differing(copy, message.buckets)
        val newerHere = message.recent.filter { it.isOlderThan(copy.versions(it.objectName())) }
        val newerThere = message.recent.filter { copy.versions(it.objectName()).isOlderThan(it) }
        return ConfigAnswer(
            objects = sources(copy, newerHere.map { it.objectName() } + message.wanted),
            wanted = newerThere.map { it.objectName() },
            settled = message.digest?.let { it.after(newerHere, copy) == copy.digest.plus(newerThere, copy) } ?: true,
            differing = differing,
            versions = if (differing.isEmpty()) emptyList() else copy.versionsIn(differing),
        )
    }

    /** Next message of the sender whose [copy] has merged the answer's objects, or null when nothing is left. */
    fun followUp(copy: ConfigCopy, answer: ConfigAnswer, from: String): ConfigMessage? {
        val theirs = answer.versions.associateBy { it.objectName() }
        val newerHere =
            copy.versionsIn(answer.differing)
                .filter { (theirs[it.objectName()] ?: it.copy(version = 0, validVersion = 0)).isOlderThan(it) }
        val newerThere = answer.versions.filter { copy.versions(it.objectName()).isOlderThan(it) }
        val message =
            ConfigMessage(
                from = from,
                objects = sources(copy, answer.wanted + newerHere.map { it.objectName() }),
                wanted = newerThere.map { it.objectName() },
                buckets = if (answer.settled) emptyList() else copy.bucketHashes,
            )
        return message.takeUnless { it == ConfigMessage(from = from) }
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

    /** Digest of the sender once it has taken over the [newer] pairs of the receiver's [copy]. */
    private fun ConfigDigest.after(newer: List<ObjectVersion>, copy: ConfigCopy): ConfigDigest =
        newer.fold(this) { digest, theirs -> digest.replace(theirs, copy.versions(theirs.objectName()).max(theirs)) }

    /** Digest of the receiver's [copy] once it has taken over the sender's [newer] pairs. */
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
            hash = hash - (if (old.version == 0L) 0 else PairHash.of(old)) + PairHash.of(new),
        )
}
