package fireflyhinge.standin

/** A value whose readers see it [lagMillis] late. */
internal class Lagging<T>(private val lagMillis: Long, initial: T) {
    private data class Entry<T>(val value: T, val visibleFrom: Long)

    private val entries = ArrayDeque(listOf(Entry(value = initial, visibleFrom = System.nanoTime())))

    /** Sets [value], visible after the lag or at once if [immediately]. */
    @Synchronized
    fun set(value: T, immediately: Boolean = false) {
        val lag = if (immediately) 0 else lagMillis * NANOS_PER_MILLI
        if (immediately) entries.clear()
        entries.addLast(Entry(value = value, visibleFrom = System.nanoTime() + lag))
    }

    /** The newest visible value. */
    @Synchronized
    fun get(): T {
        val now = System.nanoTime()
        while (entries.size > 1 && entries[1].visibleFrom <= now) entries.removeFirst()
        return entries.first().value
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
