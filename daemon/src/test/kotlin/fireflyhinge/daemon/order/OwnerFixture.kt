package fireflyhinge.daemon.order

import fireflyhinge.config.Upstream
import fireflyhinge.daemon.cell.CellConfiguration
import fireflyhinge.daemon.cell.CellRuntime
import fireflyhinge.engine.EngineClient
import fireflyhinge.engine.EngineLoad
import fireflyhinge.lease.ActingLease
import fireflyhinge.lease.ShardLeases
import fireflyhinge.lease.ShardOwnership
import fireflyhinge.schedule.CellKey
import fireflyhinge.schedule.SchedulerSettings
import fireflyhinge.time.MonotonicClock

/** An owner of a cell with one replica, [upstream], that acts from [clock]'s present time on for [leaseNanos]. */
internal class OwnerFixture(
    engines: EngineClient,
    private val clock: MonotonicClock,
    val upstream: Upstream,
    epoch: Long,
    leaseNanos: Long,
) : ShardOwnership, ShardLeases {
    private val lease = ActingLease(epoch, ownerEpoch = epoch, until = clock.nanos() + leaseNanos)
    private val runtime =
        CellRuntime(CellKey("m", 0), epoch, clock, SchedulerSettings(), isActing = { of(0) != null })
    val ordering: CellOrdering

    init {
        runtime.configure(CellConfiguration(listOf(upstream), emptyMap()))
        ordering = CellOrdering(runtime, OrderSender(engines, this, clock))
    }

    /** Takes the engine's report. */
    fun report(load: EngineLoad) = runtime.recordLoad(upstream.name, load)

    override val leases: ShardLeases get() = this

    override val mapReadStartedAt: Long? = null

    override fun of(shard: Int): ActingLease? = lease.takeIf { clock.nanos() < it.until }

    override fun requestMapRead() = Unit

    override fun shardOf(key: String) = 0

    override fun actingEpoch(shard: Int): Long? = of(shard)?.ownerEpoch

    override fun ownerOf(region: String, shard: Int): String? = null

    override fun successorOf(region: String, shard: Int): String? = null
}
