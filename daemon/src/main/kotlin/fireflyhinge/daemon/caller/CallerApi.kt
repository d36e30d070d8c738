package fireflyhinge.daemon.caller

import fireflyhinge.daemon.http.BodyReader
import fireflyhinge.daemon.http.HttpLimits
import fireflyhinge.daemon.http.requestId
import fireflyhinge.daemon.http.useNumberedErrors
import fireflyhinge.daemon.trace.Tracing
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.javalin.http.Handler
import org.slf4j.MDC

/** The API for callers. */
class CallerApi(
    private val ports: CallerPorts,
    pipeline: ModelPipeline,
    departures: DepartureWatch,
    metrics: CallerMetrics,
    limits: HttpLimits = HttpLimits(),
) {
    private val chat = ChatHandler(ports, pipeline, BodyReader(limits), departures, metrics)

    /** Adds the routes of this API to an app. */
    fun install(config: JavalinConfig) {
        config.useNumberedErrors()
        config.routes.post("/v1/chat/completions", traced("chat", chat))
        config.routes.get("/v1/models", traced("models", ModelsHandler(ports)))
    }

    private fun traced(name: String, handler: Handler) =
        Handler { ctx ->
            MDC.put("request_id", ctx.requestId())
            ctx.header("X-Request-Id", ctx.requestId())
            try {
                Tracing.request(name, ctx.traceparent()) { handler.handle(ctx) }
            } finally {
                MDC.clear()
            }
        }

    private fun Context.traceparent(): String? = header("traceparent")
}
