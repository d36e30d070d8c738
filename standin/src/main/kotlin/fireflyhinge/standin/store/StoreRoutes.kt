package fireflyhinge.standin.store

import fireflyhinge.standin.CallCounts
import fireflyhinge.standin.Lagging
import fireflyhinge.standin.http.breakConnection
import fireflyhinge.standin.http.refuse
import fireflyhinge.standin.http.reply
import fireflyhinge.store.ObjectName
import fireflyhinge.store.VmEntry
import fireflyhinge.store.WriteCondition
import io.javalin.config.RoutesConfig
import io.javalin.http.Context

/** The platform's object API. */
internal class StoreRoutes(
    private val settings: StoreSettings,
    private val faults: StoreFaults,
    private val counts: CallCounts,
    private val vms: Lagging<List<VmEntry>>,
) {
    private val table = ObjectTable()

    fun addTo(routes: RoutesConfig) {
        routes.get("/v1/objects/{kind}/<name>") { get(it) }
        routes.put("/v1/objects/{kind}/<name>") { put(it) }
        routes.get("/v1/objects/{kind}") { list(it) }
        routes.get("/v1/watch") { watch(it) }
        routes.get("/v1/vms") { vms(it) }
    }

    private fun get(ctx: Context) {
        counts.add("get")
        val found = table.get(nameOf(ctx)) ?: return ctx.refuse(status = 404, reason = "no such object")
        ctx.reply(status = 200, body = found)
    }

    private fun list(ctx: Context) {
        counts.add("list")
        ctx.reply(status = 200, body = table.list(ctx.pathParam("kind")))
    }

    private fun watch(ctx: Context) {
        counts.add("watch")
        val kinds = ctx.queryParam("kinds").orEmpty().split(',').filter { it.isNotEmpty() }.toSet()
        val wait = ctx.queryParam("wait_ms")?.toLong() ?: 0
        val since = ctx.queryParam("since")?.toLong() ?: 0
        val batch = table.watch(position = since, waitMillis = wait, kinds = kinds)
        // An outage that began during the wait also hits the watches that wait.
        if (faults.outage != OutageMode.OFF) return ctx.breakConnection()
        ctx.reply(status = 200, body = batch)
    }

    private fun vms(ctx: Context) {
        counts.add("vms")
        ctx.reply(status = 200, body = vms.get())
    }

    private fun put(ctx: Context) {
        counts.add("put")
        val value = ctx.bodyAsBytes()
        if (value.size > settings.maxValueBytes) {
            return ctx.refuse(status = 413, reason = "value of ${value.size} bytes; at most ${settings.maxValueBytes}")
        }
        val condition = conditionOf(ctx) ?: return ctx.refuse(status = 428, reason = "a write needs a condition")
        val text = value.toString(Charsets.UTF_8)
        when (val result = table.put(name = nameOf(ctx), value = text, condition = condition)) {
            is PutResult.Conflict -> ctx.reply(status = 412, body = mapOf("current" to result.current))
            is PutResult.Written -> confirm(ctx = ctx, version = result.version)
        }
    }

    private fun confirm(ctx: Context, version: Long) {
        if (faults.takeLostReply()) return ctx.breakConnection()
        ctx.reply(status = 200, body = mapOf("version" to version))
    }

    private fun nameOf(ctx: Context) = ObjectName(kind = ctx.pathParam("kind"), name = ctx.pathParam("name"))

    private fun conditionOf(ctx: Context): WriteCondition? =
        ctx.header("If-Match")?.trim('"')?.toLongOrNull()?.let { WriteCondition.AtVersion(it) }
            ?: WriteCondition.Absent.takeIf { ctx.header("If-None-Match") == "*" }
}
