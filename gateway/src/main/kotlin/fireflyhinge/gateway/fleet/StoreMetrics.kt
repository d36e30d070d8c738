package fireflyhinge.gateway.fleet

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Metrics of the copies of the store's objects and of the store's era. */
internal class StoreMetrics(
    registry: PrometheusRegistry,
    era: KnownEra,
    mirrors: List<StoreMirror>,
    entry: OwnEntry,
) {
    init {
        GaugeWithCallback.builder().name("fireflyhinge_store_era").help("Highest known era of the store.")
            .callback { it.call(era.value.toDouble()) }.register(registry)
        CounterWithCallback.builder().name("fireflyhinge_store_responses_discarded_total")
            .help("Responses of the store that were discarded because they were of an older era.")
            .callback { it.call(era.discarded.toDouble()) }.register(registry)
        CounterWithCallback.builder().name("fireflyhinge_store_entry_rewrites_total")
            .help("Writes of this VM's entry after a restore of the store.")
            .callback { it.call(entry.rewrites.toDouble()) }.register(registry)
        CounterWithCallback.builder().name("fireflyhinge_store_useless_responses_total")
            .help("Responses of the store after which this VM paused: no history, or an outdated or rejected response.")
            .labelNames("kind")
            .callback { metric -> mirrors.forEach { metric.call(it.uselessResponses.toDouble(), it.kind.name) } }
            .register(registry)
        GaugeWithCallback.builder().name("fireflyhinge_store_objects_overridden")
            .help("Objects in force that differ from the store's list after an outage or a restore.")
            .labelNames("kind")
            .callback { metric -> mirrors.forEach { metric.call(it.state.overridden.toDouble(), it.kind.name) } }
            .register(registry)
    }
}
