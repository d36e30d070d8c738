package fireflyhinge.schedule

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineRequestId

/** A decode replica: its slots and the tickets bound to them. */
internal class DecodeReplica(upstream: Upstream, private val settings: SchedulerSettings) : Replica(upstream) {
    private val bound = LinkedHashMap<String, Ticket>()

    /** Requests that the engine holds without a live ticket of this cell; each occupies a slot until it is dropped. */
    private val untracked = mutableSetOf<EngineRequestId>()
    private val expired = mutableSetOf<EngineRequestId>()

    /** Whether the engine may still hold requests of expired tickets. */
    val mayHoldExpired: Boolean get() = expired.isNotEmpty()

    /** Milliseconds per token, as reported by holders. */
    val stepMillis = MovingAverage(settings.initialStepMillis)

    /** Whether the engine's requests were listed since the takeover; until then its occupied slots are unknown. */
    var listed = false
        private set

    val slots: Int get() = load?.slots ?: upstream.slots

    val occupied: Int get() = bound.size + untracked.size

    /** Requests that run on the replica according to its last load report. */
    val reportedRunning: Int get() = load?.running ?: 0

    /** Binds a slot to [ticket]. */
    fun bind(ticket: Ticket) {
        bound[ticket.id] = ticket
        untracked -= ticket.engineId
        suspects.add(ticket)
    }

    /** Frees the slot of [ticket]. */
    fun release(ticket: Ticket) {
        bound -= ticket.id
        suspects.remove(ticket)
        untracked -= ticket.engineId
    }

    /** Unbinds an expired ticket. Its slot stays occupied until the engine has dropped the request. */
    fun expire(ticket: Ticket) {
        release(ticket)
        untracked += ticket.engineId
        expired += ticket.engineId
    }

    /** Replaces the requests without a live ticket by those of a newer list. */
    fun setUntracked(requests: Set<EngineRequestId>) {
        untracked.clear()
        untracked += requests
        expired.retainAll(requests)
        listed = true
    }

    /** Records that the engine dropped [id]. */
    fun recordDropped(id: EngineRequestId) {
        untracked -= id
        expired -= id
    }

    /** Time at which a slot becomes free for one more request, or null if it cannot be predicted. */
    fun freeAt(now: Long): Long? {
        val endsNeeded = occupied - slots + 1
        if (endsNeeded <= 0) return now
        if (stepMillis.samples < MIN_STEP_SAMPLES) return null
        return bound.values.map { it.decodeEnd(stepMillis.value, settings.stepMarginMillis, now) }.sorted()
            .getOrNull(endsNeeded - 1)
    }

    override fun onRestart() {
        untracked.clear()
        expired.clear()
    }

    override fun onReport(newLoad: EngineLoad, now: Long) = Unit

    private companion object {
        /** Samples required before a prefill may start ahead of a predicted free slot. */
        const val MIN_STEP_SAMPLES = 5
    }
}
