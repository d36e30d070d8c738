package fireflyhinge.gateway

import fireflyhinge.forward.GatewayAddressSelector
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.RequestHandler
import fireflyhinge.gateway.http.ResponseWriter
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/**
 * Serves readiness checks, address lookups and metrics.
 *
 * @param homeRegions regions that are allowed for the routes of a host; null if all are.
 */
internal class DiscoveryHandler(
    private val protocol: DiscoveryProtocol,
    private val addresses: GatewayAddressSelector,
    private val homeRegions: (String) -> Set<String>?,
    private val ready: () -> Boolean,
    private val registry: PrometheusRegistry,
) : RequestHandler {
    override suspend fun handle(request: CallerRequest, response: ResponseWriter) {
        when (request.uri.substringBefore('?')) {
            protocol.readyPath -> response.respond(if (ready()) OK else UNAVAILABLE, DefaultHttpHeaders(), ByteArray(0))
            protocol.lookupPath -> lookup(request, response)
            METRICS_PATH -> metrics(response)
            else -> response.respond(NOT_FOUND, DefaultHttpHeaders(), ByteArray(0))
        }
    }

    private suspend fun lookup(request: CallerRequest, response: ResponseWriter) {
        val query = protocol.query(request.uri)
        val fronts = addresses.select(query.failureDomain, query.region, query.host?.let(homeRegions))
        // Callers ask another VM if this one returns no addresses.
        if (fronts.isEmpty()) return response.respond(UNAVAILABLE, DefaultHttpHeaders(), ByteArray(0))
        val headers = DefaultHttpHeaders().add(HttpHeaderNames.CONTENT_TYPE, "application/json")
        response.respond(OK, headers, protocol.addresses(fronts, TTL_SECONDS))
    }

    private suspend fun metrics(response: ResponseWriter) {
        val body = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(body, registry.scrape())
        val headers = DefaultHttpHeaders().add(HttpHeaderNames.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE)
        response.respond(OK, headers, body.toByteArray())
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val METRICS_PATH = "/metrics"

        /** Failed VMs disappear from responses within 3 s; some callers keep addresses for three times the TTL. */
        const val TTL_SECONDS = 2
    }
}
