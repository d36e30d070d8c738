package fireflyhinge.standin.engine

/**
 * A change of the prefix cache.
 *
 * @property seq numbers without gaps as they happened; a missing number is a lost event.
 * @property scope workspace whose prefix it is.
 * @property block name of the block.
 * @property depth index of the block in its prefix.
 * @property stored true if the block was stored, false if it was evicted.
 */
data class CacheEvent(val seq: Long, val scope: String, val block: String, val depth: Int, val stored: Boolean)
