package fireflyhinge.daemon.cell

import fireflyhinge.config.ConfigSnapshot
import fireflyhinge.config.ConfigSource
import fireflyhinge.config.UpstreamRole
import fireflyhinge.schedule.CellPlan
import java.util.concurrent.ConcurrentHashMap

/** Cell plans of the current configuration, cached until the configuration changes. */
class CellPlans(private val config: ConfigSource) {
    private class Cache(val snapshot: ConfigSnapshot) {
        val plans = ConcurrentHashMap<Pair<String, String>, CellPlan>()
        val models = snapshot.upstreams.values.filter { it.role != UpstreamRole.SERVICE }
    }

    @Volatile
    private var cache = Cache(config.current())

    /** The configuration that the plans are computed from. */
    val snapshot: ConfigSnapshot get() = current().snapshot

    /** Plan of [service] in [region]. */
    fun plan(service: String, region: String): CellPlan =
        current().let { c -> c.plans.computeIfAbsent(service to region) { CellPlan(c.snapshot, service, region) } }

    /** Model services that have replicas in [region]. */
    fun services(region: String): Set<String> =
        current().models.filter { it.region == region }.mapTo(LinkedHashSet()) { it.service }

    /** Regions that have replicas of [service], sorted. */
    fun regions(service: String): List<String> =
        current().models.filter { it.service == service }.map { it.region }.distinct().sorted()

    private fun current(): Cache {
        val snapshot = config.current()
        return cache.takeIf { it.snapshot === snapshot } ?: Cache(snapshot).also { cache = it }
    }
}
