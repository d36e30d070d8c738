package fireflyhinge.daemon

import fireflyhinge.Json
import fireflyhinge.daemon.http.fail
import fireflyhinge.daemon.http.useNumberedErrors
import fireflyhinge.peer.PeerEndpoint
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.security.MessageDigest

/**
 * The control API: messages of other daemons, health and metrics.
 *
 * @param ready whether this daemon can serve requests.
 */
class ControlApi(
    private val endpoints: List<PeerEndpoint<*>>,
    private val peerToken: String,
    private val registry: PrometheusRegistry,
    private val ready: () -> Boolean,
) {
    /** Adds the routes of this API to an app. */
    fun install(config: JavalinConfig) {
        config.useNumberedErrors()
        endpoints.forEach { endpoint -> config.routes.post(endpoint.path) { serve(it, endpoint) } }
        config.routes.get("/livez") { it.result("live") }
        config.routes.get("/readyz") { it.status(if (ready()) OK else UNAVAILABLE) }
        config.routes.get("/metrics", ::metrics)
    }

    private fun <T : Any> serve(ctx: Context, endpoint: PeerEndpoint<T>) {
        if (!authorized(ctx)) {
            ctx.fail(Outcome.Failure(ResultCode.OPERATOR_UNAUTHORIZED))
            return
        }
        val message = Json.mapper.readValue(ctx.bodyAsBytes(), endpoint.type)
        ctx.contentType("application/json").result(Json.mapper.writeValueAsBytes(endpoint.handle(message)))
    }

    // Compares in constant time, so that the time of an answer tells nothing about the token.
    private fun authorized(ctx: Context): Boolean {
        val given = ctx.header("Authorization").orEmpty().removePrefix("Bearer ")
        return MessageDigest.isEqual(given.toByteArray(), peerToken.toByteArray())
    }

    private fun metrics(ctx: Context) {
        ctx.contentType(PrometheusTextFormatWriter.CONTENT_TYPE)
        PrometheusTextFormatWriter.create().write(ctx.outputStream(), registry.scrape())
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}
