package fireflyhinge.schedule

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineRequestId

/** A decode replica: its slots and the tickets bound to them. */
internal class DecodeReplica(upstream: Upstream, private val settings: SchedulerSettings) : Replica(upstream) {
    private val bound = LinkedHashMap<String, Ticket>()

    /** Requests that the engine holds without a live ticket of this cell; each takes a slot until it is gone. */
    private val foreign = mutableSetOf<EngineRequestId>()
    private val lapsed = mutableSetOf<EngineRequestId>()

    /** Whether the engine may still hold requests of expired tickets. */
    val holdsLapsed: Boolean get() = lapsed.isNotEmpty()

    /** Time per token as reported by holders. */
    val step = MovingAverage(settings.initialStepMillis)

    /** Whether the engine's requests were listed since this owner took over; before that its slots are not known. */
    var listed = false
        private set

    val slots: Int get() = load?.slots ?: upstream.slots

    val occupied: Int get() = bound.size + foreign.size

    /** Requests that the replica was told to run or reports to run, whichever is newer knowledge. */
    val reportedRunning: Int get() = load?.running ?: 0

    /** Binds a slot. */
    fun bind(ticket: Ticket) {
        bound[ticket.id] = ticket
        foreign -= ticket.engineId
        if (ticket.request.suspect) suspects += ticket.id
    }

    /** Frees the slot of a request that holds nothing any more. */
    fun release(ticket: Ticket) {
        bound -= ticket.id
        suspects -= ticket.id
        foreign -= ticket.engineId
    }

    /** Keeps the slot of an expired ticket taken until the engine has dropped the request. */
    fun lapse(ticket: Ticket) {
        release(ticket)
        foreign += ticket.engineId
        lapsed += ticket.engineId
    }

    /** Replaces the requests without a live ticket by those of a new list. */
    fun list(withoutTicket: Set<EngineRequestId>) {
        foreign.clear()
        foreign += withoutTicket
        lapsed.retainAll(withoutTicket)
        listed = true
    }

    /** Records that the engine dropped [id]. */
    fun dropped(id: EngineRequestId) {
        foreign -= id
        lapsed -= id
    }

    /** Time at which a slot is free for one more request, or null if that cannot be predicted. */
    fun freeAt(now: Long): Long? {
        val endsNeeded = occupied - slots + 1
        if (endsNeeded <= 0) return now
        if (step.samples < MIN_SAMPLES) return null
        return bound.values.map { it.decodeEnd(step.value, settings.stepMarginMillis, now) }.sorted()
            .getOrNull(endsNeeded - 1)
    }

    override fun onRestart() {
        foreign.clear()
        lapsed.clear()
    }

    override fun onReport(newLoad: EngineLoad, now: Long) = Unit

    private companion object {
        /** Reports after which the step time is trusted to start a prefill before a slot is free. */
        const val MIN_SAMPLES = 5
    }
}
