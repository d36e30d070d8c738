package fireflyhinge.gateway.forward

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Metrics of the waits of this VM's requests in queues. */
internal class QueueMetrics(registry: PrometheusRegistry) {
    private val waits =
        Histogram
            .builder()
            .name("fireflyhinge_queue_wait_seconds")
            .help("Time for which model requests of this VM waited in a queue, by outcome.")
            .labelNames("outcome")
            .classicOnly()
            .register(registry)
    private val offers =
        Counter
            .builder()
            .name("fireflyhinge_queue_offers_total")
            .help("Offers of capacity to model requests of this VM, by the replica's answer.")
            .labelNames("result")
            .register(registry)

    /** Records a wait of [millis] that ended with [outcome]. */
    fun waited(outcome: String, millis: Long) = waits.labelValues(outcome).observe(millis / MILLIS_PER_SECOND)

    /** Records an offer; [taken] is false if the replica refused the reservation or did not answer. */
    fun offered(taken: Boolean) = offers.labelValues(if (taken) "taken" else "refused").inc()

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
