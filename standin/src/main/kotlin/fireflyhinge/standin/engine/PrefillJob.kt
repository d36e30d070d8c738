package fireflyhinge.standin.engine

import fireflyhinge.config.Priority
import fireflyhinge.engine.PrefillRequest

/** A prefill that waits or runs. */
internal class PrefillJob(val request: PrefillRequest, val order: Long, val tokens: Int) : Comparable<PrefillJob> {
    val since: Long = System.nanoTime()

    @Volatile var cancelled: Boolean = false

    override fun compareTo(other: PrefillJob): Int =
        compareValuesBy(this, other, { it.request.priority == Priority.BATCH }, { it.order })
}
