package fireflyhinge.schedule

import fireflyhinge.order.ReplicaView

/** Excludes replicas from placements while orders require it. Not thread-safe; guarded by the cell's lock. */
class PlacementExclusions internal constructor(
    private val replicas: CellReplicas,
    private val tickets: TicketTable,
    private val knownAt: Long,
) {
    /** State of all replicas at [now], in the cell's monotonic milliseconds. */
    fun views(now: Long): List<ReplicaView> =
        replicas.all.map { ReplicaView(it.upstream, it.load, reachable = it.reachable, drained = isDrained(it, now)) }

    /** Excludes exactly the replicas [names] from new placements. */
    fun exclude(names: Set<String>) = replicas.all.forEach { it.excluded = it.name in names }

    /** Before [knownAt], holders may not yet have renewed all tickets of the previous owner. */
    private fun isDrained(replica: Replica, now: Long): Boolean =
        replica.excluded && now >= knownAt &&
            tickets.all.none {
                it.placed.decodeReplica == replica.name ||
                    it.placed.prefillReplica == replica.name && !it.prefillDone
            }
}
