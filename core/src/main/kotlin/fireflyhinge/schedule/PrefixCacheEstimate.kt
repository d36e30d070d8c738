package fireflyhinge.schedule

/**
 * Estimate of the prefixes in a prefill replica's cache, per workspace: an LRU set of at most [capacity] blocks. A
 * wrong estimate costs only prefill time.
 */
internal class PrefixCacheEstimate(private val capacity: Int) {
    private data class Block(val workspace: String, val hash: String)

    private val blocks = LinkedHashMap<Block, Unit>(INITIAL_SIZE, LOAD_FACTOR, true)

    /** Estimated number of cached tokens of the prompt with these prefix [hashes]. */
    fun cachedTokens(workspace: String, hashes: List<String>): Int =
        (hashes.indexOfLast { Block(workspace, it) in blocks } + 1) * BLOCK_TOKENS

    /** Records that the replica prefills a prompt with these prefixes. */
    fun add(workspace: String, hashes: List<String>) {
        hashes.forEach { blocks[Block(workspace, it)] = Unit }
        val excess = blocks.size - capacity
        if (excess > 0) evictOldest(excess)
    }

    /** Evicts the oldest quarter, after a prefill found fewer cached blocks than estimated. */
    fun recordOverestimate() = evictOldest((blocks.size + EVICTION_DIVISOR - 1) / EVICTION_DIVISOR)

    /** Removes all blocks, after a restart of the engine. */
    fun clear() = blocks.clear()

    private fun evictOldest(count: Int) {
        val iterator = blocks.keys.iterator()
        repeat(count) {
            if (iterator.hasNext()) {
                iterator.next()
                iterator.remove()
            }
        }
    }

    companion object {
        /** Tokens per block of the engines' prefix caches. */
        const val BLOCK_TOKENS = 1_000

        private const val INITIAL_SIZE = 64
        private const val LOAD_FACTOR = 0.75f
        private const val EVICTION_DIVISOR = 4
    }
}
