package fireflyhinge.forward

/** Detects duplicates and gaps in the events of one response across all of its runs. Not thread-safe. */
class EventSequence(lastEvent: Long?) {
    /** Number of the last event the caller has received, or null. */
    var lastNumber: Long? = lastEvent
        private set

    /** Number of events accepted so far. */
    var acceptedCount = 0
        private set

    /** Whether all events so far were numbered, which is required to resume in another run. */
    var allNumbered = true
        private set

    /** Whether a resuming run has not contributed an event yet. */
    var awaitingFirstEvent = false
        private set

    private var maxStep: Long? = null

    /** Marks the start of a run that continues after the accepted events. */
    fun startRun() {
        awaitingFirstEvent = acceptedCount > 0
    }

    /**
     * Whether events are missing before [event], the first new one of a resuming run. The platform guarantees only that
     * numbers increase, so the largest step between accepted events is taken as the largest valid step. After a single
     * event, its number is used instead.
     */
    fun hasGapBefore(event: StreamEvent): Boolean {
        if (!awaitingFirstEvent || event.comment) return false
        val number = event.number ?: return true
        val before = lastNumber ?: 0
        return number - before > (maxStep ?: maxOf(before, 1))
    }

    /** Whether [event] is unnumbered in a numbered stream, so that its position is unknown. */
    fun lacksNumber(event: StreamEvent): Boolean =
        !event.comment && event.number == null && acceptedCount > 0 && allNumbered

    /** Returns whether [event] may be forwarded; false if the caller already has it. */
    fun accept(event: StreamEvent): Boolean {
        if (event.comment) return true
        val number = event.number
        val before = lastNumber
        if (number != null && before != null && number <= before) return false
        if (number == null) {
            allNumbered = false
        } else {
            if (before != null) maxStep = maxOf(maxStep ?: 0, number - before)
            lastNumber = number
        }
        awaitingFirstEvent = false
        acceptedCount++
        return true
    }
}
