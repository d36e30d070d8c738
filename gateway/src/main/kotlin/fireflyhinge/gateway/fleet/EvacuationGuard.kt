package fireflyhinge.gateway.fleet

import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.StoreObjectCache
import fireflyhinge.forward.markCold
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/**
 * Applies the evacuations in the store to the table of replicas.
 *
 * @param boundMillis milliseconds within which an evacuation must take effect; null in a fleet without evacuations.
 * @param onKnown called once, when replicas may be used for the first time.
 */
internal class EvacuationGuard(
    private val table: ReplicaTable,
    private val boundMillis: Long?,
    registry: PrometheusRegistry,
    private val onKnown: () -> Unit,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val gauge =
        Gauge
            .builder()
            .name("fireflyhinge_evacuated_failure_domains")
            .help("Failure domains whose replicas get nothing new because of an evacuation.")
            .register(registry)

    /** Whether replicas may be used: the evacuations were read, or [awaitFirst] gave up waiting for them. */
    @Volatile
    var known = boundMillis == null
        private set

    /** Puts the evacuations of [state] into force. An object counts by its name, whatever its spec is. */
    fun apply(state: StoreObjectCache) {
        val before = table.evacuatedDomains
        val now = state.items().keys.toSet()
        table.evacuatedDomains = now
        gauge.set(now.size.toDouble())
        (now - before).forEach { log("failure domain evacuated; its replicas get nothing new", it, state.revision) }
        (before - now).forEach {
            // Its replicas may have become cold meanwhile.
            table.markCold(it)
            log("evacuation of a failure domain lifted", it, state.revision)
        }
        allowReplicas()
    }

    /**
     * Allows the use of replicas after the bound even if no evacuations could be read. A VM that reaches neither the
     * store nor a VM with a copy would otherwise refuse all requests.
     */
    suspend fun awaitFirst() {
        delay(boundMillis ?: return)
        if (known) return
        log.atWarn().addKeyValue("millis", boundMillis).log("evacuations are not known; using all replicas")
        allowReplicas()
    }

    private fun allowReplicas() {
        if (known) return
        known = true
        onKnown()
    }

    private fun log(message: String, domain: String, revision: Long) =
        log.atInfo().addKeyValue("failure_domain", domain).addKeyValue("revision", revision).log(message)
}
