package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaState
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.slf4j.LoggerFactory

/** Records what replicas say about their load and further requests in their responses, and counts it. */
internal class ReplicaNotices(registry: PrometheusRegistry) {
    private val leaving =
        Counter
            .builder()
            .name("fireflyhinge_replicas_leaving_total")
            .help("Replicas that announced in a response that they leave.")
            .labelNames("service")
            .register(registry)
    private val backoffs =
        Counter
            .builder()
            .name("fireflyhinge_replica_backoffs_total")
            .help("Times at which a replica refused a request and asked for a pause.")
            .labelNames("service")
            .register(registry)

    private val loads =
        Counter
            .builder()
            .name("fireflyhinge_replica_load_reports_total")
            .help("Responses in which a replica reported its load.")
            .labelNames("service", "stage")
            .register(registry)

    /** Records the notices in a response of [state]'s replica with [metadata]. */
    fun record(state: ReplicaState, metadata: ReplicaResponseMetadata) {
        val service = state.replica.service
        // The load of another process at the address says nothing about this replica.
        metadata.load?.takeUnless { metadata.otherReplica }?.let {
            state.recordLoad(it)
            loads.labelValues(service, state.replica.stage.name.lowercase()).inc()
        }
        if (metadata.leaving && state.availability.announceLeaving()) {
            leaving.labelValues(service).inc()
            event(state).log("replica announced that it leaves; it gets no new requests")
        }
        if (metadata.otherReplica && state.availability.recordReplaced()) {
            event(state).log("another process has the address of a replica; it gets no requests")
        }
        metadata.coldMillis?.takeIf { state.warmth.recordCold(it) }?.let {
            event(state).addKeyValue("millis", it).log("replica announced that it is cold")
        }
        val asked = metadata.backoffMillis ?: return
        if (!state.availability.requestBackoff(asked)) return
        backoffs.labelValues(service).inc()
        event(state)
            .addKeyValue("asked_millis", asked)
            .addKeyValue("millis", state.availability.backoffMillis)
            .log("replica asked for a pause; it gets no requests until then")
    }

    private fun event(state: ReplicaState) =
        log.atInfo().addKeyValue("replica", state.replica.id).addKeyValue("service", state.replica.service)

    private companion object {
        val log = LoggerFactory.getLogger(ReplicaNotices::class.java)
    }
}
