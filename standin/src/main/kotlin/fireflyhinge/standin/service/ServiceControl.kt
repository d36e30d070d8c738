package fireflyhinge.standin.service

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.standin.http.SilenceGate
import fireflyhinge.standin.http.decodeBody
import fireflyhinge.standin.http.done
import fireflyhinge.standin.http.reply
import io.javalin.config.RoutesConfig

/** Fault control of the plain service under `/control/`. */
internal class ServiceControl(
    private val faults: ServiceFaults,
    private val record: CallRecord,
    private val silence: SilenceGate,
) {
    fun addTo(routes: RoutesConfig) {
        routes.post("/control/delay") { ctx ->
            faults.delayMillis = ctx.decodeBody<JsonNode>()["millis"].asLong()
            ctx.done()
        }
        routes.post("/control/refuse") { ctx ->
            faults.refuse = ctx.decodeBody<JsonNode>()["on"].asBoolean()
            ctx.done()
        }
        routes.post("/control/close-after-run") { ctx ->
            faults.closeAfterRun(ctx.decodeBody<JsonNode>()["count"].asInt())
            ctx.done()
        }
        routes.post("/control/silence") { ctx ->
            silence.silenceOpen()
            ctx.done()
        }
        routes.get("/control/counts") { ctx -> ctx.reply(status = 200, body = record.runsByKey()) }
        routes.get("/control/received") { ctx -> ctx.reply(status = 200, body = record.received()) }
        routes.delete("/control/counts") { ctx ->
            record.reset()
            ctx.done()
        }
    }
}
