package fireflyhinge.daemon.cell

import fireflyhinge.lease.ShardOwnership
import fireflyhinge.membership.Membership
import fireflyhinge.schedule.CellKey
import fireflyhinge.schedule.SchedulerSettings
import fireflyhinge.time.MonotonicClock
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/** Cells that this daemon runs. A new epoch replaces the [CellRuntime] of a cell. */
internal class ActingCells(
    private val ownership: ShardOwnership,
    private val plans: CellPlans,
    private val membership: Membership,
    private val clock: MonotonicClock,
    private val settings: SchedulerSettings,
) {
    private val self = membership.self()
    private val region = self.region
    private val runtimes = ConcurrentHashMap<CellKey, CellRuntime>()

    /** All running cells. */
    val all: Collection<CellRuntime> get() = runtimes.values

    /** The running cell, started if needed, or null if this daemon may not act for it now. */
    fun runtimeOf(key: CellKey): CellRuntime? {
        val epoch = epochOf(key) ?: return null
        val known = runtimes[key]
        return if (known?.epoch == epoch) known else start(key)
    }

    /** Starts the cells that this daemon has come to own. Retires removed cells and those that another VM owns. */
    fun reconcile() {
        val keys = plans.services(region).flatMapTo(HashSet()) { plans.plan(it, region).keys() }
        keys.forEach { key -> LoopTask("start of cell $key") { runtimeOf(key) }.run() }
        runtimes.keys.forEach { key ->
            LoopTask("ownership check of cell $key") {
                if (key !in keys || ownedByOther(key)) runtimes.remove(key)?.let(::retire)
            }.run()
        }
    }

    /** The part of the current configuration that applies to [key]. */
    fun configuration(key: CellKey) =
        CellConfiguration(
            upstreams = plans.plan(key.service, region).replicasOf(key),
            weights = weights(plans.snapshot.workspaces.mapValues { it.value.rate }),
        )

    /** Retires all cells. */
    fun retireAll() = runtimes.keys.toList().forEach { runtimes.remove(it)?.let(::retire) }

    private fun start(key: CellKey): CellRuntime? {
        var previous: CellRuntime? = null
        val started =
            runtimes.compute(key) { _, known ->
                val epoch = epochOf(key)
                if (epoch == null || known?.epoch == epoch) {
                    known
                } else {
                    previous = known
                    create(key, epoch)
                }
            }
        previous?.let(::retire)
        return started?.takeIf { it.epoch == epochOf(key) }
    }

    private fun create(key: CellKey, epoch: Long) =
        CellRuntime(
            key,
            epoch,
            clock,
            settings,
            isDead = { membership.provenDead(it.vm, it.incarnation) },
            isActing = { epochOf(key) == epoch },
        ).also {
            it.configure(configuration(key))
            log.info("started cell {} under epoch {}", key, epoch)
        }

    private fun retire(runtime: CellRuntime) {
        runtime.retire()
        log.info("retired cell {} of epoch {}", runtime.key, runtime.epoch)
    }

    private fun epochOf(key: CellKey): Long? = ownership.actingEpoch(ownership.shardOf(key.toString()))

    /** A cell keeps its state while the lease is only interrupted, because no other VM acts under the same epoch. */
    private fun ownedByOther(key: CellKey): Boolean {
        val owner = ownership.ownerOf(region, ownership.shardOf(key.toString()))
        return epochOf(key) == null && owner != null && owner != self.id
    }

    /** Rates divided by their mean, so that the quantum of the fair queue suits any configuration. */
    private fun weights(rates: Map<String, Double>): Map<String, Double> {
        val mean = rates.values.average()
        return if (mean > 0) rates.mapValues { it.value / mean } else emptyMap()
    }

    private companion object {
        val log = LoggerFactory.getLogger(ActingCells::class.java)!!
    }
}
