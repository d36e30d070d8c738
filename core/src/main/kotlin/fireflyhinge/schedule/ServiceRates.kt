package fireflyhinge.schedule

/** Observed service rates of a cell, in tokens per millisecond. */
internal class ServiceRates {
    private val total = ServiceRate()
    private val lateOnly = ServiceRate()

    /** Rate of all classes, or null until a backlog was observed for long enough. */
    val all: Double? get() = total.tokensPerMilli?.takeIf { it > 0 }

    /** Rate of the late class, at least the fraction [minimumWeight] of the total rate; null if [all] is null. */
    fun late(minimumWeight: Double): Double? =
        all?.let { rate -> maxOf(lateOnly.tokensPerMilli ?: rate, rate * minimumWeight) }

    /** Records the requests placed since the last call, and whether [queue] and its late class still have requests. */
    fun record(placed: List<QueueEntry>, queue: FairQueue, now: Long) {
        total.record(placed.sumOf { it.cost }, waiting = !queue.isEmpty, now = now)
        val late = placed.filter { it.queueClass == QueueClass.LATE }
        lateOnly.record(late.sumOf { it.cost }, waiting = !queue.ofClass(QueueClass.LATE).isEmpty, now = now)
    }
}
