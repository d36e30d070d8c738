package fireflyhinge.schedule

import fireflyhinge.engine.Holder

/** The live tickets of a cell, and those that ended recently so that late messages about them are recognized. */
internal class TicketTable(private val settings: SchedulerSettings) {
    private val live = LinkedHashMap<String, Ticket>()
    private val endedAt = LinkedHashMap<String, Ended>()

    /** All live tickets. */
    val all: Collection<Ticket> get() = live.values

    /** The live ticket with this id, or null. */
    operator fun get(id: String): Ticket? = live[id]

    /** How the ticket ended, or null if it is live, unknown or ended long ago. */
    fun ended(id: String): TicketOutcome? = endedAt[id]?.end

    /** Adds or renews a ticket. */
    fun renew(ticket: Ticket, now: Long) {
        ticket.expiresAt = now + settings.ticketTtlMillis
        live[ticket.id] = ticket
    }

    /** Ends a ticket; also records the end of one that was never issued, so that it is not issued later. */
    fun end(id: String, end: TicketOutcome, now: Long): Ticket? {
        endedAt[id] = Ended(end = end, at = now)
        return live.remove(id)
    }

    /** Tickets whose time is over at [now], and those of holders that are [dead]. */
    fun expired(now: Long, dead: (Holder) -> Boolean): List<Ticket> {
        val ended = live.values.mapTo(HashSet()) { it.request.holder }.filterTo(HashSet(), dead)
        return live.values.filter { it.expiresAt <= now || it.request.holder in ended }
    }

    /** Gives all tickets their whole time again, because this process could not receive renewals for a while. */
    fun extendAll(now: Long) = live.values.forEach { it.expiresAt = now + settings.ticketTtlMillis }

    /** Forgets ends that no late message can refer to. */
    fun forget(now: Long) {
        val iterator = endedAt.values.iterator()
        while (iterator.hasNext() && iterator.next().at < now - FORGET_MILLIS) iterator.remove()
    }

    private data class Ended(val end: TicketOutcome, val at: Long)

    private companion object {
        /** Longer than any message can be on its way and than an orphan can stay listed. */
        const val FORGET_MILLIS = 60_000
    }
}
