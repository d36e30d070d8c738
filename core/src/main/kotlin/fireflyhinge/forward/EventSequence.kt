package fireflyhinge.forward

/** Checks that the events of one answer follow each other, over all runs that contribute to it. Not thread-safe. */
class EventSequence(lastEvent: Long?) {
    /** Number of the last event that the caller has, or null. */
    var lastNumber: Long? = lastEvent
        private set

    /** Events handed on so far. */
    var acceptedCount = 0
        private set

    /** Whether all events so far had numbers, so that it can be told where another run goes on. */
    var allNumbered = true
        private set

    /** Whether a run that goes on after the events so far has given none of its own yet. */
    var awaitingFirstEvent = false
        private set

    private var longestStep: Long? = null

    /** Another run begins, which goes on after the events so far. */
    fun startRun() {
        awaitingFirstEvent = acceptedCount > 0
    }

    /**
     * Whether [event], the first new one of a run that goes on, does not follow the events so far. The platform states
     * only that numbers increase, so the longest step between the events so far tells how far apart two may be. After a
     * single event, the first number of the stream tells it.
     */
    fun hasGapBefore(event: StreamEvent): Boolean {
        if (!awaitingFirstEvent || event.comment) return false
        val number = event.number ?: return true
        val before = lastNumber ?: 0
        return number - before > (longestStep ?: maxOf(before, 1))
    }

    /** Whether [event] has no number though the events so far have, so that it cannot be told where it belongs. */
    fun lacksNumber(event: StreamEvent): Boolean =
        !event.comment && event.number == null && acceptedCount > 0 && allNumbered

    /** Whether [event] may be handed on; false for one that the caller already has. */
    fun accept(event: StreamEvent): Boolean {
        if (event.comment) return true
        val number = event.number
        val before = lastNumber
        if (number != null && before != null && number <= before) return false
        if (number == null) {
            allNumbered = false
        } else {
            if (before != null) longestStep = maxOf(longestStep ?: 0, number - before)
            lastNumber = number
        }
        awaitingFirstEvent = false
        acceptedCount++
        return true
    }
}
