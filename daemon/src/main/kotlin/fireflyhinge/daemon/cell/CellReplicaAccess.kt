package fireflyhinge.daemon.cell

import fireflyhinge.order.ReplicaView
import fireflyhinge.schedule.PlacementExclusions
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import java.util.concurrent.locks.Lock
import kotlin.concurrent.withLock

/** The replicas of a running cell under the cell's [lock]. */
internal class CellReplicaAccess(
    private val lock: Lock,
    private val exclusions: PlacementExclusions,
    private val clock: MonotonicClock,
) {
    /** Their present state. */
    fun views(): List<ReplicaView> = lock.withLock { exclusions.views(clock.millis()) }

    /** Withholds exactly the replicas [names] from new placements. */
    fun withhold(names: Set<String>) = lock.withLock { exclusions.exclude(names) }
}
