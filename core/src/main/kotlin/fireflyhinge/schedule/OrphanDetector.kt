package fireflyhinge.schedule

import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.HeldRequest
import fireflyhinge.engine.Holder

/** Finds requests at engines whose holder is gone. */
internal class OrphanDetector(
    private val settings: SchedulerSettings,
    private val tickets: TicketTable,
    private val dead: (Holder) -> Boolean,
) {
    private val lists = HashMap<String, HashMap<EngineRequestId, Listed>>()

    /** Takes the list of [replica] and returns the requests to cancel. */
    fun orphans(replica: Replica, held: List<HeldRequest>, now: Long): List<Cancellation> {
        val seen = lists.getOrPut(replica.name) { HashMap() }
        val unknown = held.filter { tickets[it.ticket] == null && tickets.ended(it.ticket) == null }
        seen.keys.retainAll(unknown.mapTo(HashSet()) { it.id })
        unknown.forEach { seen.putIfAbsent(it.id, Listed(it.holder, since = now)) }
        return held
            .filter { tickets.ended(it.ticket) != null || seen[it.id]?.isOverdue(now) == true }
            .map { Cancellation(replica = replica.name, address = replica.upstream.address, id = it.id) }
    }

    /** Replicas that were last listed with a request that by now is an orphan. */
    fun overdue(now: Long): Set<String> =
        lists.filterValues { listed -> listed.values.any { it.isOverdue(now) } }.keys

    /** Starts all waits again, because renewals could not be received for a while. */
    fun restart() = lists.clear()

    /** A dead holder cannot renew its ticket, so nothing is waited for. */
    private fun Listed.isOverdue(now: Long) = now - since >= settings.unknownTicketMillis || dead(holder)

    private class Listed(val holder: Holder, val since: Long)
}
