package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaTable
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Shows how evenly the replicas of each service are loaded according to their reports to this VM. */
internal class ReplicaLoadMetrics(table: ReplicaTable, registry: PrometheusRegistry) {
    init {
        GaugeWithCallback
            .builder()
            .name("fireflyhinge_replica_load_mean")
            .help("Reported requests per slot, averaged over about 10 s and over the replicas.")
            .labelNames("service", "stage")
            .callback { gauge ->
                table.meanFills.forEach { (group, fills) ->
                    gauge.call(fills.average(), group.first, group.second.name.lowercase())
                }
            }
            .register(registry)
        GaugeWithCallback
            .builder()
            .name("fireflyhinge_replica_load_spread")
            .help("Reported requests per slot, averaged over about 10 s, of the busiest replica relative to the mean.")
            .labelNames("service", "stage")
            .callback { gauge ->
                table.meanFills.filterValues { it.average() > 0 }.forEach { (group, fills) ->
                    gauge.call(fills.max() / fills.average(), group.first, group.second.name.lowercase())
                }
            }
            .register(registry)
    }
}
