package fireflyhinge.schedule

import java.util.TreeMap

/** Times for which one replica's transfer link is reserved. Times are in milliseconds. */
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

    /** Reserves the link; reservations that ended before [now] are forgotten. */
    fun reserve(start: Long, duration: Long, now: Long) {
        while (endByStart.isNotEmpty() && endByStart.firstEntry().value < now) endByStart.pollFirstEntry()
        endByStart.merge(start, start + duration) { a, b -> maxOf(a, b) }
    }

    /** Gives back the reservation that starts at [start]. */
    fun cancel(start: Long) {
        endByStart.remove(start)
    }
}
