package fireflyhinge.schedule

/**
 * Prefixes that a prefill replica is believed to hold, per workspace, at most [capacity] blocks in order of last use.
 * A wrong belief costs prefill time only.
 */
internal class PrefixCacheEstimate(private val capacity: Int) {
    private data class Block(val workspace: String, val hash: String)

    private val blocks = LinkedHashMap<Block, Unit>(INITIAL_SIZE, LOAD_FACTOR, true)

    /** Tokens of the prompt with [hashes] that are believed to be cached. */
    fun cachedTokens(workspace: String, hashes: List<String>): Int =
        (hashes.indexOfLast { Block(workspace, it) in blocks } + 1) * BLOCK_TOKENS

    /** Records that the replica reads a prompt with these prefixes. */
    fun add(workspace: String, hashes: List<String>) {
        hashes.forEach { blocks[Block(workspace, it)] = Unit }
        val surplus = blocks.size - capacity
        if (surplus > 0) forgetOldest(surplus)
    }

    /** Records that a prefill found fewer blocks than believed: the engine has evicted, so the oldest are dropped. */
    fun overestimated() = forgetOldest((blocks.size + EVICTED_PART - 1) / EVICTED_PART)

    /** Forgets everything, because the engine restarted. */
    fun clear() = blocks.clear()

    private fun forgetOldest(count: Int) {
        val iterator = blocks.keys.iterator()
        repeat(count) {
            if (iterator.hasNext()) {
                iterator.next()
                iterator.remove()
            }
        }
    }

    companion object {
        /** Tokens per block of the engines' caches. */
        const val BLOCK_TOKENS = 1_000

        private const val INITIAL_SIZE = 64
        private const val LOAD_FACTOR = 0.75f
        private const val EVICTED_PART = 4
    }
}
