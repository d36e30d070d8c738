package fireflyhinge.schedule

import fireflyhinge.engine.Holder

/** Live tickets of a cell, and the outcomes of recently ended ones, which identify late messages about them. */
internal class TicketTable(private val settings: SchedulerSettings) {
    private val live = LinkedHashMap<String, Ticket>()
    private val ended = LinkedHashMap<String, Ended>()

    /** All live tickets. */
    val all: Collection<Ticket> get() = live.values

    /** The live ticket with this id, or null. */
    operator fun get(id: String): Ticket? = live[id]

    /** Outcome of the ticket, or null if it is live, unknown or no longer remembered. */
    fun outcomeOf(id: String): TicketOutcome? = ended[id]?.outcome

    /** Adds or renews [ticket] for its full TTL. */
    fun renew(ticket: Ticket, now: Long) {
        ticket.expiresAt = now + settings.ticketTtlMillis
        live[ticket.id] = ticket
    }

    /** Ends a live ticket and returns it. Also records the end of an unknown ticket, so that it is not issued later. */
    fun end(id: String, outcome: TicketOutcome, now: Long): Ticket? {
        ended[id] = Ended(outcome = outcome, at = now)
        return live.remove(id)
    }

    /** Tickets that have expired at [now], and tickets of holders that are [dead]. */
    fun expired(now: Long, isDead: (Holder) -> Boolean): List<Ticket> {
        val deadHolders = live.values.mapTo(HashSet()) { it.request.holder }.filterTo(HashSet(), isDead)
        return live.values.filter { it.expiresAt <= now || it.request.holder in deadHolders }
    }

    /** Renews all tickets, because this process could not receive renewals for a while. */
    fun extendAll(now: Long) = live.values.forEach { it.expiresAt = now + settings.ticketTtlMillis }

    /** Removes outcomes that no late message can refer to any more. */
    fun purgeEnded(now: Long) {
        val iterator = ended.values.iterator()
        while (iterator.hasNext() && iterator.next().at < now - ENDED_RETENTION_MILLIS) iterator.remove()
    }

    private data class Ended(val outcome: TicketOutcome, val at: Long)

    private companion object {
        /** Longer than a message can be in flight and an orphan can stay listed. */
        const val ENDED_RETENTION_MILLIS = 60_000
    }
}
