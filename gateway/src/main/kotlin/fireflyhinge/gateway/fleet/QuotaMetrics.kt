package fireflyhinge.gateway.fleet

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counts loans by their result, and refusals of requests by what is known of the workspace's limit. */
internal class QuotaMetrics(registry: PrometheusRegistry) {
    private val loans =
        Counter
            .builder()
            .name("fireflyhinge_quota_loans_total")
            .help("Loans that other VMs were asked for, by result.")
            .labelNames("result")
            .register(registry)
    private val refusals =
        Counter
            .builder()
            .name("fireflyhinge_quota_refusals_total")
            .help("Requests refused for want of tokens, by workspace and by whether its limit is known to be exceeded.")
            .labelNames("workspace", "kind")
            .register(registry)

    fun loan(result: String) = loans.labelValues(result).inc()

    fun refusal(workspace: String, overLimit: Boolean) =
        refusals.labelValues(workspace, if (overLimit) "over_limit" else "not_known").inc()

    companion object {
        const val GRANTED = "granted"
        const val EMPTY = "empty"
        const val REFUSED = "refused"
        const val UNANSWERED = "unanswered"
    }
}
