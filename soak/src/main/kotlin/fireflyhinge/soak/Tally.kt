package fireflyhinge.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Counts what happened, so that a run that checked nothing is not taken for a good one. */
internal class Tally {
    private val counts = ConcurrentHashMap<String, AtomicLong>()

    fun add(name: String) {
        counts.computeIfAbsent(name) { AtomicLong() }.incrementAndGet()
    }

    /** What a run must have counted to say anything, and did not. */
    fun missing(): List<String> = NEEDED.filterNot(counts::containsKey)

    override fun toString(): String = counts.toSortedMap().entries.joinToString(" ") { "${it.key}=${it.value}" }

    companion object {
        /** Requests whose key must be denied. */
        const val WITHDRAWN = "withdrawn-key"
        private val NEEDED = CallKind.entries.map { "$it-200" } + WITHDRAWN
    }
}
