package fireflyhinge.schedule

import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.HeldRequest
import fireflyhinge.engine.Holder

/** Detects orphans: requests at engines whose ticket has ended, or is unknown and not renewed by its holder. */
internal class OrphanDetector(
    private val settings: SchedulerSettings,
    private val tickets: TicketTable,
    private val isDead: (Holder) -> Boolean,
) {
    private val lists = HashMap<String, HashMap<EngineRequestId, Listed>>()

    /** Records the requests [held] by [replica] and returns those to cancel. */
    fun findOrphans(replica: Replica, held: List<HeldRequest>, now: Long): List<Cancellation> {
        val untracked = lists.getOrPut(replica.name) { HashMap() }
        val unknown = held.filter { tickets[it.ticket] == null && tickets.outcomeOf(it.ticket) == null }
        untracked.keys.retainAll(unknown.mapTo(HashSet()) { it.id })
        unknown.forEach { untracked.putIfAbsent(it.id, Listed(it.holder, since = now)) }
        return held
            .filter { tickets.outcomeOf(it.ticket) != null || untracked[it.id]?.isOverdue(now) == true }
            .map { Cancellation(replica = replica.name, address = replica.upstream.address, id = it.id) }
    }

    /** Replicas whose last list has a request that has become an orphan by [now]. */
    fun replicasWithOrphans(now: Long): Set<String> =
        lists.filterValues { listed -> listed.values.any { it.isOverdue(now) } }.keys

    /** Restarts all waits, because renewals could not be received for a while. */
    fun restart() = lists.clear()

    /** A dead holder cannot renew its ticket, so its requests are orphans without a wait. */
    private fun Listed.isOverdue(now: Long) = now - since >= settings.unknownTicketMillis || isDead(holder)

    private class Listed(val holder: Holder, val since: Long)
}
