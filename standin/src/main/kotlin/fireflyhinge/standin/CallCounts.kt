package fireflyhinge.standin

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Counts calls and amounts per kind for measurements. */
class CallCounts {
    private val counts = ConcurrentHashMap<String, LongAdder>()

    internal fun add(kind: String, amount: Long = 1) = counts.computeIfAbsent(kind) { LongAdder() }.add(amount)

    /** Counts since the start or the last [reset]. */
    fun snapshot(): Map<String, Long> = counts.mapValues { it.value.sum() }.toSortedMap()

    /** Forgets all counts. */
    fun reset() = counts.clear()
}
