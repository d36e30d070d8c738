package fireflyhinge.forward

/** Checks that the events of one answer follow each other, over all runs that contribute to it. Not thread-safe. */
class EventOrder(lastEvent: Long?) {
    /** Number of the last event that the caller has, or null. */
    var last: Long? = lastEvent
        private set

    /** Events handed on so far. */
    var passed = 0
        private set

    /** Whether [event] may be handed on; false for one that the caller already has. */
    fun accept(event: StreamEvent): Boolean {
        val number = event.number
        val before = last
        if (number != null && before != null && number <= before) return false
        if (number != null) last = number
        passed++
        return true
    }
}
