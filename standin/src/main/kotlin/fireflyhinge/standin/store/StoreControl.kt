package fireflyhinge.standin.store

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.standin.CallCounts
import fireflyhinge.standin.Lagging
import fireflyhinge.standin.http.SilenceGate
import fireflyhinge.standin.http.decodeBody
import fireflyhinge.standin.http.done
import fireflyhinge.standin.http.reply
import fireflyhinge.store.VmEntry
import io.javalin.config.RoutesConfig

/** Fault control of the store under `/control/`. */
internal class StoreControl(
    private val faults: StoreFaults,
    private val counts: CallCounts,
    private val vms: Lagging<List<VmEntry>>,
    private val silence: SilenceGate,
) {
    fun addTo(routes: RoutesConfig) {
        routes.post("/control/outage") { ctx ->
            faults.outage = OutageMode.valueOf(ctx.decodeBody<JsonNode>()["mode"].asText().uppercase())
            ctx.done()
        }
        routes.post("/control/delay") { ctx ->
            faults.delayMillis = ctx.decodeBody<JsonNode>()["millis"].asLong()
            ctx.done()
        }
        routes.post("/control/silence") { ctx ->
            silence.silenceOpen()
            ctx.done()
        }
        routes.post("/control/lose-replies") { ctx ->
            faults.loseReplies(ctx.decodeBody<JsonNode>()["count"].asInt())
            ctx.done()
        }
        routes.post("/control/vms") { ctx ->
            val now = ctx.queryParam("now") == "true"
            vms.set(value = ctx.decodeBody<List<VmEntry>>(), immediately = now)
            ctx.done()
        }
        routes.get("/control/counts") { ctx -> ctx.reply(status = 200, body = counts.snapshot()) }
        routes.delete("/control/counts") { ctx ->
            counts.reset()
            ctx.done()
        }
    }
}
