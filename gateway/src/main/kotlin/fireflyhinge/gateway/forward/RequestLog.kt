package fireflyhinge.gateway.forward

import fireflyhinge.forward.RequestMetadata
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.monotonicMillis
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.slf4j.LoggerFactory
import org.slf4j.event.Level

/** Logs each request with the data that explains its outcome, and updates the request metrics. */
internal class RequestLog(registry: PrometheusRegistry) {
    private val log = LoggerFactory.getLogger("requests")
    private val logLimiter = LogRateLimiter()
    private val outcomes =
        Counter
            .builder()
            .name("fireflyhinge_requests_total")
            .help("Requests by route and outcome.")
            .labelNames("route", "outcome")
            .register(registry)
    private val seconds =
        Histogram
            .builder()
            .name("fireflyhinge_request_seconds")
            .help("Time from the head of a request to its outcome.")
            .labelNames("route")
            .classicOnly()
            .register(registry)

    init {
        Counter
            .builder()
            .name("fireflyhinge_log_lines_dropped_total")
            .help("Request lines that were not logged because too many came in a second.")
            .register(registry)
            .also { logLimiter.onDropped = it::inc }
    }

    /** Records that an admitted request ended with [outcome]. */
    fun ended(context: RequestContext, outcome: String) {
        val route = context.admission.route.name
        val millis = monotonicMillis() - context.request.arrivedMillis
        outcomes.labelValues(route, outcome.take(MAX_LABEL_CHARS)).inc()
        seconds.labelValues(route).observe(millis / MILLIS_PER_SECOND)
        if (!logLimiter.tryAcquire()) return
        log
            .atLevel(Level.INFO)
            .addKeyValue("request", context.metadata.requestId)
            .addKeyValue("route", route)
            .addKeyValue("workspace", context.admission.workspace?.name)
            .addKeyValue("service", context.service)
            .addKeyValue("config", context.admission.configVersion)
            .addKeyValue("tokens", context.cost.toLong())
            .addKeyValue("resumes", context.metadata.resumedRequestId)
            .addKeyValue("last_event", context.metadata.lastEvent)
            .addKeyValue("version", context.origin?.version)
            .addKeyValue("parts", context.metadata.promptParts.ifEmpty { null })
            .addKeyValue("millis", millis)
            .addKeyValue("first_event_millis", context.firstEventMillis)
            .addKeyValue("longest_pause_millis", context.longestPauseMillis)
            .addKeyValue("tried", context.attemptLog.joinToString("; "))
            .addKeyValue("outcome", outcome)
            .log("request ended")
    }

    /** Records that a request was refused before it was charged, under configuration [version]. */
    fun refused(request: CallerRequest, metadata: RequestMetadata?, failure: Outcome.Failure, version: Long?) {
        outcomes.labelValues("none", failure.code.label).inc()
        if (!logLimiter.tryAcquire()) return
        log
            .atLevel(Level.INFO)
            .addKeyValue("request", metadata?.requestId)
            .addKeyValue("host", request.headers.get("Host"))
            .addKeyValue("uri", request.uri)
            .addKeyValue("config", version)
            .addKeyValue("outcome", failure.code.label)
            .addKeyValue("reason", failure.code.text + failure.detail)
            .log("request refused")
    }

    /** Records that an unexpected [cause] was thrown; [context] is null if the request was not yet admitted. */
    fun failed(request: CallerRequest, context: RequestContext?, code: ResultCode, cause: Throwable) {
        outcomes.labelValues(context?.admission?.route?.name ?: "none", code.label).inc()
        if (!logLimiter.tryAcquire()) return
        log
            .atError()
            .addKeyValue("request", context?.metadata?.requestId)
            .addKeyValue("uri", request.uri)
            .addKeyValue("tried", context?.attemptLog?.joinToString("; "))
            .addKeyValue("outcome", code.label)
            .setCause(cause)
            .log("request failed unexpectedly")
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** The metric's label is cut to this length, since outcomes continue with a free-form reason. */
        const val MAX_LABEL_CHARS = 10
    }
}
