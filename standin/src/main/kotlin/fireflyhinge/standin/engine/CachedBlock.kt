package fireflyhinge.standin.engine

/** A block of the prefix cache: [depth] is its index in the prefix of [scope]. */
internal data class CachedBlock(val scope: String, val name: String, val depth: Int)
