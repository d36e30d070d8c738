package fireflyhinge.standin

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json
import fireflyhinge.engine.EngineLoad
import fireflyhinge.standin.http.SilenceGate
import fireflyhinge.standin.http.StandinHost
import fireflyhinge.standin.http.breakConnection
import fireflyhinge.standin.http.connectionNumber
import fireflyhinge.standin.http.isControl
import fireflyhinge.standin.http.refuse
import fireflyhinge.standin.http.reply
import fireflyhinge.standin.service.CallRecord
import fireflyhinge.standin.service.ServiceControl
import fireflyhinge.standin.service.ServiceFaults
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import java.util.concurrent.atomic.AtomicInteger

/**
 * Stand-in for a plain service on [listen] (`host:port`, port 0 selects a free one). Any path runs a call, except
 * `/v1/load` and `/control/`. Each call takes [runMillis].
 */
class PlainServer(
    listen: String = "127.0.0.1:0",
    private val name: String = "service",
    private val runMillis: Long = 0,
) : AutoCloseable {
    /** Fault control. */
    val faults: ServiceFaults = ServiceFaults()

    /** What ran. */
    val record: CallRecord = CallRecord()

    private val incarnation = System.currentTimeMillis()
    private val running = AtomicInteger()
    private val silence = SilenceGate()
    private val host = StandinHost(listen = listen) { config -> addRoutes(config.routes) }

    /** `host:port` as bound. */
    val address: String get() = host.address

    /** Makes the connections that are open now silent for good. */
    fun silenceOpenConnections() = silence.silenceOpen()

    private fun addRoutes(routes: RoutesConfig) {
        ServiceControl(faults = faults, record = record, silence = silence).addTo(routes)
        routes.get("/v1/load") { load(it) }
        routes.get("/<path>") { run(it) }
        routes.post("/<path>") { run(it) }
        routes.put("/<path>") { run(it) }
        routes.patch("/<path>") { run(it) }
        routes.delete("/<path>") { run(it) }
    }

    private fun load(ctx: Context) {
        val report = EngineLoad(incarnation = incarnation, running = running.get(), queuedPrefillTokens = 0, slots = 0)
        ctx.reply(status = 200, body = report)
    }

    private fun run(ctx: Context) {
        if (ctx.isControl()) return
        val connection = ctx.connectionNumber()
        silence.note(connection)
        if (!silence.hold(connection)) return ctx.breakConnection()
        record.receive(ctx)
        if (faults.refuse) return ctx.refuse(status = 503, reason = "refused before running")
        running.incrementAndGet()
        try {
            runCounted(ctx)
        } finally {
            running.decrementAndGet()
        }
    }

    private fun runCounted(ctx: Context) {
        val key = keyOf(ctx)
        val runs = record.run(key)
        val wait = runMillis + faults.delayMillis
        if (wait > 0) Thread.sleep(wait)
        val open = !faults.takeClose() && silence.hold(ctx.connectionNumber())
        if (!open) return ctx.breakConnection()
        val body =
            mapOf("service" to name, "method" to ctx.method().name, "path" to ctx.path(), "key" to key, "runs" to runs)
        ctx.reply(status = 200, body = body)
    }

    private fun keyOf(ctx: Context): String = ctx.header("Idempotency-Key") ?: bodyId(ctx) ?: "none"

    private fun bodyId(ctx: Context): String? =
        try {
            Json.decode<JsonNode>(ctx.body())["id"]?.asText()
        } catch (_: JsonProcessingException) {
            // A body without JSON has no id.
            null
        }

    override fun close() {
        silence.close()
        host.close()
    }
}
