package fireflyhinge.gateway.forward

import fireflyhinge.forward.ColdBudget
import fireflyhinge.forward.ColdReplicas
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.ReplicaTable
import fireflyhinge.gateway.repeatForever
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/**
 * Keeps the [budget] of cold replicas informed of the other VMs, and shows which replicas are cold.
 *
 * @param active whether a service bounds the requests to cold replicas and this VM has learned of the others.
 */
internal class ColdReplicaMonitor(
    private val budget: ColdBudget,
    private val replicas: ColdReplicas,
    private val fleet: FleetView,
    private val table: ReplicaTable,
    registry: PrometheusRegistry,
    private val active: () -> Boolean,
) {
    private val gauge =
        Gauge
            .builder()
            .name("fireflyhinge_cold_replicas")
            .help("Replicas that are cold and whose service bounds the requests to them.")
            .labelNames("service")
            .register(registry)
    private var usable = false
    private var cold = emptyMap<String, String>()

    /** Updates until cancelled. */
    suspend fun run() {
        repeatForever(log, "watching cold replicas") {
            delay(UPDATE_MILLIS)
            if (active()) budget.update(fleet.live().map { it.name })
            if (usable != budget.usable) {
                usable = budget.usable
                log.atInfo().addKeyValue("ready", usable).log("budget of cold replicas changed")
            }
            recordCold(table.all.filter(replicas::isCold).associate { it.replica.id to it.replica.service })
        }
    }

    private fun recordCold(now: Map<String, String>) {
        val before = cold
        cold = now
        (before.values + now.values).toSet().forEach { service ->
            gauge.labelValues(service).set(now.values.count { it == service }.toDouble())
        }
        (now - before.keys).forEach { (id, service) -> logChange(id, service, "replica is cold") }
        (before - now.keys).forEach { (id, service) -> logChange(id, service, "replica is no longer cold") }
    }

    private fun logChange(id: String, service: String, message: String) =
        log.atInfo().addKeyValue("replica", id).addKeyValue("service", service).log(message)

    private companion object {
        val log = LoggerFactory.getLogger(ColdReplicaMonitor::class.java)

        /** Several times within [ColdBudget.MAX_UPDATE_AGE_MILLIS], so that a short pause of the process is none. */
        const val UPDATE_MILLIS = 250L
    }
}
