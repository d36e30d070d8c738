package fireflyhinge.schedule

import fireflyhinge.order.ReplicaView

/** Excludes replicas of a cell from placements while orders need that. Not thread-safe; the cell's lock guards it. */
class PlacementExclusions internal constructor(
    private val replicas: CellReplicas,
    private val book: TicketTable,
    private val knownAt: Long,
) {
    /** State of all replicas at [now] (the cell's milliseconds). */
    fun views(now: Long): List<ReplicaView> =
        replicas.all.map { ReplicaView(it.upstream, it.load, reachable = it.answers, drained = drained(it, now)) }

    /** Excludes exactly the replicas [names] from new placements. */
    fun exclude(names: Set<String>) = replicas.all.forEach { it.excluded = it.name in names }

    /** Before [knownAt] a slow holder may not have renewed a ticket of the previous owner. */
    private fun drained(replica: Replica, now: Long): Boolean =
        replica.excluded && now >= knownAt &&
            book.all.none {
                it.placed.decodeReplica == replica.name ||
                    it.placed.prefillReplica == replica.name && !it.prefillDone
            }
}
