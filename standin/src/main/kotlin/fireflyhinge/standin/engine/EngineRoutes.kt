package fireflyhinge.standin.engine

import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.standin.ReceivedCalls
import fireflyhinge.standin.http.breakConnection
import fireflyhinge.standin.http.connectionNumber
import fireflyhinge.standin.http.decodeBody
import fireflyhinge.standin.http.done
import fireflyhinge.standin.http.isControl
import fireflyhinge.standin.http.refuse
import fireflyhinge.standin.http.reply
import io.javalin.config.RoutesConfig
import io.javalin.http.Context

/** The engines' API. */
internal class EngineRoutes(
    private val host: EngineHost,
    private val received: ReceivedCalls,
    private val fetcher: KvFetcher,
) {
    fun addTo(routes: RoutesConfig) {
        val prefill = PrefillHandler(host)
        val transfer = TransferHandler(host = host, fetcher = fetcher)
        val decode = DecodeHandler(host)
        routes.before { admit(it) }
        routes.post("/v1/prefill") { prefill.handle(it) }
        routes.get("/v1/kv/{handle}") { transfer.export(it) }
        routes.post("/v1/kv/import") { transfer.import(it) }
        routes.post("/v1/decode") { decode.handle(it) }
        routes.delete("/v1/requests/{id}") { cancel(it) }
        routes.get("/v1/requests") { counted(it, "held") { host.engine.held() } }
        routes.get("/v1/load") { counted(it, "load") { host.report() } }
        routes.get("/v1/cache-events") { ctx ->
            val since = ctx.queryParam("since")?.toLong() ?: 0
            counted(ctx, "cache_events") { host.engine.events.after(since) }
        }
        routes.post("/v1/orders") { order(it) }
    }

    private fun admit(ctx: Context) {
        if (ctx.isControl()) return
        received.add(ctx)
        val connection = ctx.connectionNumber()
        host.silence.note(connection)
        host.crashed.note(connection)
        val open = host.silence.hold(connection) && !host.crashed.covers(connection)
        if (!open) return ctx.breakConnection()
        if (host.faults.refuse) {
            ctx.refuse(status = 503, reason = "refused by fault control")
            ctx.skipRemainingHandlers()
        }
    }

    private fun counted(ctx: Context, kind: String, answer: () -> Any) {
        host.counts.add(kind)
        ctx.reply(status = 200, body = answer())
    }

    private fun cancel(ctx: Context) {
        host.counts.add("cancel")
        val attempt = ctx.queryParam("attempt")?.toIntOrNull() ?: return ctx.refuse(status = 400, reason = "no attempt")
        host.engine.cancel(EngineRequestId(request = ctx.pathParam("id"), attempt = attempt))
        ctx.done()
    }

    private fun order(ctx: Context) {
        host.counts.add("order")
        val order = ctx.decodeBody<EngineOrder>()
        host.engine.orders.give(order)?.let { return ctx.refuse(status = it.status, reason = it.reason) }
        ctx.done()
    }
}
