package fireflyhinge.schedule

import java.util.TreeMap

/** Reserved intervals of one replica's transfer link, in milliseconds. */
internal class LinkReservations {
    private val endByStart = TreeMap<Long, Long>()

    /** Earliest start at or after [from] at which the link is free for [duration]. */
    fun earliest(from: Long, duration: Long): Long {
        var start = maxOf(from, endByStart.floorEntry(from)?.value ?: from)
        for ((busyFrom, busyUntil) in endByStart.tailMap(from, true)) {
            if (busyFrom >= start + duration) break
            start = maxOf(start, busyUntil)
        }
        return start
    }

    /** Reserves the link for [duration] from [start]. Removes reservations that ended before [now]. */
    fun reserve(start: Long, duration: Long, now: Long) {
        while (endByStart.isNotEmpty() && endByStart.firstEntry().value < now) endByStart.pollFirstEntry()
        endByStart.merge(start, start + duration) { a, b -> maxOf(a, b) }
    }

    /** Cancels the reservation that starts at [start]. */
    fun cancel(start: Long) {
        endByStart.remove(start)
    }
}
