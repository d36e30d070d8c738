package fireflyhinge.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Counts what happened, so that a run that checked nothing is not taken for a good one. */
internal class Tally {
    private val counts = ConcurrentHashMap<String, AtomicLong>()

    fun add(name: String) {
        counts.computeIfAbsent(name) { AtomicLong() }.incrementAndGet()
    }

    operator fun get(name: String): Long = counts[name]?.get() ?: 0

    override fun toString(): String = counts.toSortedMap().entries.joinToString(" ") { "${it.key}=${it.value}" }
}
