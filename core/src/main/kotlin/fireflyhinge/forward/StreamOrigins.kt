package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/** Where recent streams began, by the id of the caller's attempt that brought the first event. Thread-safe. */
class StreamOrigins(private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private class Entry(val origin: StreamOrigin, val at: Long)

    /** Oldest first. */
    private val entries = LinkedHashMap<String, Entry>()
    private val untold = LinkedHashMap<String, StreamOrigin>()
    private val uncopied = LinkedHashMap<String, StreamOrigin>()

    /** Number of streams that became known. */
    var count = 0L
        @Synchronized get
        private set

    /** Whether no stream waits to be told to other VMs. */
    val allTold: Boolean @Synchronized get() = untold.isEmpty()

    /** Records that this VM forwards the first event of stream [id], before it does. */
    @Synchronized
    fun began(id: String, origin: StreamOrigin) {
        if (!add(id, origin)) return
        untold[id] = origin
        uncopied[id] = origin
    }

    /** Takes up what another VM told, or what the store has. What is known of a stream never changes. */
    @Synchronized
    fun told(origins: Map<String, StreamOrigin>) = origins.forEach { (id, origin) -> add(id, origin) }

    /** Where stream [id] began; null if that is not known. */
    @Synchronized
    fun find(id: String): StreamOrigin? = entries[id]?.takeIf { clock.millis() - it.at < MEMORY_MILLIS }?.origin

    /** Streams that became known in the last [STORED_MILLIS], of services for which [wanted] holds. */
    @Synchronized
    fun recent(wanted: (String) -> Boolean): Map<String, StreamOrigin> {
        val from = clock.millis() - STORED_MILLIS
        return entries.filterValues { it.at > from }.mapValues { it.value.origin }.of(wanted)
    }

    /** Returns and forgets what no other VM was told yet, of services for which [wanted] holds. */
    @Synchronized
    fun takeUntold(wanted: (String) -> Boolean): Map<String, StreamOrigin> {
        val taken = untold.of(wanted)
        untold.keys -= taken.keys
        return taken
    }

    /** Returns and forgets what was not copied to other VMs yet, of streams that no other VM was told of. */
    @Synchronized
    fun takeUncopied(): Map<String, StreamOrigin> {
        val taken = uncopied.filterKeys { it in untold }
        uncopied.clear()
        return taken
    }

    private fun Map<String, StreamOrigin>.of(wanted: (String) -> Boolean): Map<String, StreamOrigin> {
        val services = values.map { it.service }.toSet().filter(wanted).toSet()
        return if (services.isEmpty()) emptyMap() else filterValues { it.service in services }
    }

    private fun add(id: String, origin: StreamOrigin): Boolean {
        if (entries.putIfAbsent(id, Entry(origin, clock.millis())) != null) return false
        count++
        removeOld()
        return true
    }

    private fun removeOld() {
        val until = clock.millis() - MEMORY_MILLIS
        val old = entries.entries.takeWhile { it.value.at <= until }.map { it.key }
        val excess = entries.keys.take(maxOf(0, entries.size - MAX_ENTRIES))
        val removed = (old + excess).toSet()
        entries.keys -= removed
        untold.keys -= removed
        uncopied.keys -= removed
    }

    private companion object {
        const val MEMORY_MILLIS = ServiceVersions.MEMORY_MILLIS

        /** Longer than most streams last. */
        const val STORED_MILLIS = 30_000L

        /** Streams of a minute at 24 a second and VM, each told to three VMs; some megabytes. */
        const val MAX_ENTRIES = 6_000
    }
}
