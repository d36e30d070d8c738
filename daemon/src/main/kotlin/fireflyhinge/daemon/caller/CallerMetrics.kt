package fireflyhinge.daemon.caller

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.slf4j.LoggerFactory

/** Counters and the request log of the caller API. */
class CallerMetrics(registry: PrometheusRegistry) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val requests =
        Counter
            .builder()
            .name("fireflyhinge_requests_total")
            .help("Requests by kind of route and result code; OK for answered ones, GONE for departed callers.")
            .labelNames("kind", "code")
            .register(registry)
    private val tokens =
        Counter
            .builder()
            .name("fireflyhinge_tokens_total")
            .help("Tokens by workspace and direction.")
            .labelNames("workspace", "direction")
            .register(registry)
    private val firstToken =
        Histogram
            .builder()
            .name("fireflyhinge_first_token_seconds")
            .help("Time from the request to the first token of its answer.")
            .classicOnly()
            .classicUpperBounds(0.05, 0.1, 0.2, 0.4, 0.8, 1.3, 2.0, 4.0, 8.0)
            .register(registry)

    /** Counts and logs a request that ended with [code]. */
    fun request(kind: String, code: String) {
        requests.labelValues(kind, code).inc()
        log.info("{} request ended with {}", kind, code)
    }

    /** Counts the tokens of an answer. */
    fun tokens(workspace: String, prompt: Int, completion: Int) {
        tokens.labelValues(workspace, "prompt").inc(prompt.toDouble())
        tokens.labelValues(workspace, "completion").inc(completion.toDouble())
    }

    /** Records the time to the first token, in milliseconds. */
    fun firstToken(millis: Long) = firstToken.observe(millis / MILLIS_PER_SECOND)

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
