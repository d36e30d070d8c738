package fireflyhinge.schedule

import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.HeldRequest

/** Finds requests at engines whose holder is gone. */
internal class OrphanWatch(private val settings: SchedulerSettings, private val tickets: TicketBook) {
    private val firstListed = HashMap<String, HashMap<EngineRequestId, Long>>()

    /** Takes the list of [replica] and returns the requests to cancel. */
    fun orphans(replica: Replica, held: List<HeldRequest>, now: Long): List<Cancellation> {
        val seen = firstListed.getOrPut(replica.name) { HashMap() }
        val unknown = held.filter { tickets[it.ticket] == null && tickets.ended(it.ticket) == null }
        seen.keys.retainAll(unknown.mapTo(HashSet()) { it.id })
        unknown.forEach { seen.putIfAbsent(it.id, now) }
        return held
            .filter { tickets.ended(it.ticket) != null || isOverdue(seen[it.id], now) }
            .map { Cancellation(replica = replica.name, address = replica.upstream.address, id = it.id) }
    }

    /** Replicas that were last listed with a request whose ticket has by now been unknown for too long. */
    fun overdue(now: Long): Set<String> =
        firstListed.filterValues { listed -> listed.values.any { isOverdue(it, now) } }.keys

    /** Starts all waits again, because renewals could not be received for a while. */
    fun restart() = firstListed.clear()

    private fun isOverdue(since: Long?, now: Long) = since != null && now - since >= settings.unknownMillis
}
