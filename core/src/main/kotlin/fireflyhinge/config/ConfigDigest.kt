package fireflyhinge.config

/**
 * Summary of a copy of the configuration. Two copies with equal digests hold the same versions.
 *
 * @property count number of objects, tombstones included.
 * @property sum sum of their versions.
 * @property hash sum of a 64-bit hash of each object's name and versions, which can be updated incrementally.
 */
data class ConfigDigest(val count: Int = 0, val sum: Long = 0, val hash: Long = 0) {
    override fun toString(): String = "$count-$sum-${java.lang.Long.toHexString(hash)}"
}
