package fireflyhinge.forward

/** Map of at most [capacity] entries that drops the one that was used least recently. Not thread-safe. */
internal class LruMap<K, V>(private val capacity: Int) : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > capacity

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
