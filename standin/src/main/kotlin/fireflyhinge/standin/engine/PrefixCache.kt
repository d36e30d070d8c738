package fireflyhinge.standin.engine

/** Prefix cache of [capacity] blocks that evicts the least recently used one. */
internal class PrefixCache(private val capacity: Int, private val events: CacheEventLog) {
    private val blocks = LinkedHashMap<String, CachedBlock>(INITIAL_SIZE, LOAD_FACTOR, true)

    /** Number of leading [names] that are cached. */
    @Synchronized
    fun match(names: List<String>): Int = names.takeWhile { blocks[it] != null }.size

    /** Stores the blocks [names] of one prompt of [scope]. */
    @Synchronized
    fun store(scope: String, names: List<String>) {
        names.forEachIndexed { depth, name ->
            val block = CachedBlock(scope = scope, name = name, depth = depth)
            if (blocks.put(name, block) == null) events.add(block = block, stored = true)
        }
        while (blocks.size > capacity) evict()
    }

    private fun evict() {
        val oldest = blocks.values.first()
        blocks.remove(oldest.name)
        events.add(block = oldest, stored = false)
    }

    private companion object {
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
    }
}
