package fireflyhinge.daemon.caller

import fireflyhinge.daemon.http.BodyReader
import fireflyhinge.daemon.http.HttpLimits
import fireflyhinge.daemon.http.REQUEST_ID_HEADER
import fireflyhinge.daemon.http.requestId
import fireflyhinge.daemon.http.useNumberedErrors
import fireflyhinge.daemon.service.ServiceCallReader
import fireflyhinge.daemon.service.ServiceHandler
import fireflyhinge.daemon.service.ServicePipeline
import fireflyhinge.daemon.trace.Tracing
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.javalin.http.Handler
import io.javalin.http.HandlerType
import org.slf4j.MDC

/** The API for callers. */
class CallerApi(
    private val ports: CallerPorts,
    models: ModelPipeline,
    services: ServicePipeline,
    departures: DepartureWatch,
    metrics: CallerMetrics,
    limits: HttpLimits = HttpLimits(),
) {
    private val bodies = BodyReader(limits)
    private val chat = ChatHandler(ModelJobReader(ports, bodies), models, ports.clock, departures, metrics)
    private val service = ServiceHandler(ServiceCallReader(ports, bodies), services, departures, metrics)

    /** Adds the routes of this API to an app. */
    fun install(config: JavalinConfig) {
        config.useNumberedErrors()
        config.routes.post("/v1/chat/completions", traced("chat", chat))
        config.routes.get("/v1/models", traced("models", ModelsHandler(ports)))
        val anyService = traced("service", service)
        HandlerType.commonHttp().forEach { config.routes.addHttpHandler(it, "/services/<rest>", anyService) }
    }

    private fun traced(name: String, handler: Handler) =
        Handler { ctx ->
            MDC.put("request_id", ctx.requestId())
            ctx.header(REQUEST_ID_HEADER, ctx.requestId())
            try {
                Tracing.request(name, ctx.traceparent()) { handler.handle(ctx) }
            } finally {
                MDC.clear()
            }
        }

    private fun Context.traceparent(): String? = header("traceparent")
}
