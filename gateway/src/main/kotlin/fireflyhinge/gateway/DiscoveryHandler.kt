package fireflyhinge.gateway

import fireflyhinge.forward.GatewayAddressSelector
import fireflyhinge.gateway.http.AnswerWriter
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.RequestHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Serves readiness checks, address lookups and metrics. */
internal class DiscoveryHandler(
    private val protocol: DiscoveryProtocol,
    private val addresses: GatewayAddressSelector,
    private val ready: () -> Boolean,
    private val registry: PrometheusRegistry,
) : RequestHandler {
    override suspend fun handle(request: CallerRequest, answer: AnswerWriter) {
        when (request.uri.substringBefore('?')) {
            protocol.readyPath -> answer.whole(if (ready()) OK else UNAVAILABLE, DefaultHttpHeaders(), ByteArray(0))
            protocol.lookupPath -> lookup(request, answer)
            METRICS_PATH -> metrics(answer)
            else -> answer.whole(NOT_FOUND, DefaultHttpHeaders(), ByteArray(0))
        }
    }

    private suspend fun lookup(request: CallerRequest, answer: AnswerWriter) {
        val fronts = addresses.select(protocol.failureDomain(request.uri))
        // Callers ask another VM if this one returns no addresses.
        if (fronts.isEmpty()) return answer.whole(UNAVAILABLE, DefaultHttpHeaders(), ByteArray(0))
        val headers = DefaultHttpHeaders().add(HttpHeaderNames.CONTENT_TYPE, "application/json")
        answer.whole(OK, headers, protocol.addresses(fronts, TTL_SECONDS))
    }

    private suspend fun metrics(answer: AnswerWriter) {
        val body = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(body, registry.scrape())
        val headers = DefaultHttpHeaders().add(HttpHeaderNames.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE)
        answer.whole(OK, headers, body.toByteArray())
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
