package fireflyhinge.schedule

/** Observed rates of service of a cell, in tokens per millisecond. */
internal class ServiceRates {
    private val total = ServiceRate()
    private val lateOnly = ServiceRate()

    /** Rate of all classes, or null until a queue was observed for long enough. */
    val all: Double? get() = total.tokensPerMilli?.takeIf { it > 0 }

    /** Rate of the late class, at least [minimumWeight] of the rate of all classes; null as for [all]. */
    fun late(minimumWeight: Double): Double? =
        all?.let { rate -> maxOf(lateOnly.tokensPerMilli ?: rate, rate * minimumWeight) }

    /** Records the requests placed since the last call, and which classes still wait in [queue]. */
    fun record(placed: List<QueueEntry>, queue: FairQueue, now: Long) {
        total.record(placed.sumOf { it.cost }, waiting = !queue.isEmpty, now = now)
        val late = placed.filter { it.queueClass == QueueClass.LATE }
        lateOnly.record(late.sumOf { it.cost }, waiting = !queue.ofClass(QueueClass.LATE).isEmpty, now = now)
    }
}
