package fireflyhinge.daemon.cell

import fireflyhinge.order.ReplicaView
import fireflyhinge.schedule.PlacementExclusions
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import java.util.concurrent.locks.Lock
import kotlin.concurrent.withLock

/** Access to the replicas of a running cell, guarded by the cell's [lock]. */
internal class CellReplicaAccess(
    private val lock: Lock,
    private val exclusions: PlacementExclusions,
    private val clock: MonotonicClock,
) {
    /** Current state of the replicas. */
    fun views(): List<ReplicaView> = lock.withLock { exclusions.views(clock.millis()) }

    /** Excludes the replicas [names], and no others, from new placements. */
    fun exclude(names: Set<String>) = lock.withLock { exclusions.exclude(names) }
}
