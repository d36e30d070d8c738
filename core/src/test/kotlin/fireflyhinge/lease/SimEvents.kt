package fireflyhinge.lease

import java.util.PriorityQueue

/** Event queue that runs actions in the order of true time, in nanoseconds. */
internal class SimEvents {
    private val queue = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var order = 0L

    /** Current true time in nanoseconds. */
    var now = 0L
        private set

    /** Runs [action] after [delay]. */
    fun after(delay: Long, action: () -> Unit) {
        queue.add(Event(at = now + delay, order = order++, action = action))
    }

    /** Runs all events until [end] and calls [check] after each. */
    fun runUntil(end: Long, check: () -> Unit) {
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val event = queue.poll()
            now = event.at
            event.action()
            check()
        }
    }

    private class Event(val at: Long, val order: Long, val action: () -> Unit)
}

internal const val MILLI = 1_000_000L
internal const val SECOND = 1_000 * MILLI
