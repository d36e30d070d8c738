package fireflyhinge.standin.engine

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.standin.ReceivedCalls
import fireflyhinge.standin.http.decodeBody
import fireflyhinge.standin.http.done
import fireflyhinge.standin.http.reply
import io.javalin.config.RoutesConfig
import io.javalin.http.Context

/** Fault control of the engine under `/control/`. */
internal class EngineControl(private val host: EngineHost, private val received: ReceivedCalls) {
    fun addTo(routes: RoutesConfig) {
        change(routes, "/control/crash") { host.crash() }
        change(routes, "/control/silence") { host.silence.silenceOpen() }
        change(routes, "/control/poison") { ctx ->
            host.faults.poison = ctx.decodeBody<JsonNode>()["words"].map { it.asText() }.toSet()
        }
        change(routes, "/control/fail-loads") { ctx ->
            host.faults.failLoads = ctx.decodeBody<JsonNode>()["names"].map { it.asText() }.toSet()
        }
        change(routes, "/control/stall-transfers") { host.faults.stallTransfers = isOn(it) }
        change(routes, "/control/cross-events") { host.faults.crossEvents = isOn(it) }
        change(routes, "/control/refuse") { host.faults.refuse = isOn(it) }
        change(routes, "/control/leaving") { host.faults.leaving = isOn(it) }
        routes.get("/control/counts") { it.reply(status = 200, body = host.counts.snapshot()) }
        routes.get("/control/received") { it.reply(status = 200, body = received.list()) }
        routes.get("/control/orders") { it.reply(status = 200, body = host.engine.orders.accepted()) }
        routes.delete("/control/counts") { ctx ->
            host.counts.reset()
            received.reset()
            ctx.done()
        }
    }

    private fun change(routes: RoutesConfig, path: String, action: (Context) -> Unit) {
        routes.post(path) { ctx ->
            action(ctx)
            ctx.done()
        }
    }

    private fun isOn(ctx: Context): Boolean = ctx.decodeBody<JsonNode>()["on"].asBoolean()
}
