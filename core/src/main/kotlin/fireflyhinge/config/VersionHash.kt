package fireflyhinge.config

/** 64-bit hashes of object names and versions, equal on every daemon. */
internal object VersionHash {
    /** Number of buckets into which the objects of a copy are divided to locate differences. */
    const val BUCKETS = 64

    private const val FNV_OFFSET = -3750763034362895579L
    private const val FNV_PRIME = 1099511628211L
    private const val MIX_1 = -4658895280553007687L
    private const val SHIFT_1 = 30
    private const val SHIFT_2 = 27
    private const val SHIFT_3 = 31
    private const val MIX_2 = -7723592293110705685L

    /** Bucket of the object. */
    fun bucket(kind: String, name: String): Int = Math.floorMod(mix(text(kind, name)), BUCKETS)

    /** Hash of an object name and its versions. */
    fun of(version: ObjectVersion): Long =
        mix(mix(text(version.kind, version.name) xor mix(version.version)) xor mix(version.validVersion + FNV_PRIME))

    private fun text(kind: String, name: String): Long =
        "$kind/$name".fold(FNV_OFFSET) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }

    /** Finalizer of SplitMix64; without it the FNV hashes of similar names could cancel out in a sum. */
    private fun mix(value: Long): Long {
        val first = (value xor (value ushr SHIFT_1)) * MIX_1
        val second = (first xor (first ushr SHIFT_2)) * MIX_2
        return second xor (second ushr SHIFT_3)
    }
}
