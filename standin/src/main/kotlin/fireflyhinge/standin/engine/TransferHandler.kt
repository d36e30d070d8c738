package fireflyhinge.standin.engine

import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.ImportRequest
import fireflyhinge.standin.http.breakConnection
import fireflyhinge.standin.http.decodeBody
import fireflyhinge.standin.http.refuse
import fireflyhinge.standin.http.reply
import io.javalin.http.Context

/** KV export (`GET /v1/kv/{handle}`, between engines) and import (`POST /v1/kv/import`). */
internal class TransferHandler(private val host: EngineHost, private val fetcher: KvFetcher) {
    /** Gives the KV cache to a decode replica after the time its bytes take on the link. */
    fun export(ctx: Context) {
        val engine = host.engine
        val handle = ctx.pathParam("handle")
        val entry = engine.memory.beginExport(handle) ?: return ctx.refuse(status = 410, reason = "expired")
        host.counts.add("export")
        val stop = { engine.dead || entry.cancelled }
        val sent = engine.link.exclusively(stop) { transfer(engine = engine, entry = entry, stop = stop) } == true
        engine.memory.remove(handle)
        when {
            engine.dead -> ctx.breakConnection()
            sent -> ctx.reply(status = 200, body = entry.content)
            else -> ctx.refuse(status = 410, reason = "cancelled")
        }
    }

    private fun transfer(engine: Engine, entry: KvEntry, stop: () -> Boolean): Boolean {
        if (!host.silence.holdWhile { host.faults.stallTransfers && !stop() }) return false
        return Waits.sleep(nanos = engine.link.nanosFor(entry.content.kvBytes), stop = stop)
    }

    /** Takes a slot and fetches the KV cache for it; an import that is already complete succeeds again. */
    fun import(ctx: Context) {
        val engine = host.engine
        val request = ctx.decodeBody<ImportRequest>()
        if (engine.orders.role != UpstreamRole.DECODE) {
            return ctx.refuse(status = 409, reason = "the role is ${engine.orders.role}")
        }
        val present = engine.decodes.of(request.id)
        if (present?.content != null) return ctx.reply(status = 200, body = emptyMap<String, String>())
        if (present != null) return ctx.refuse(status = 409, reason = "the import is already running")
        val slot =
            engine.decodes.reserve(request) ?: run {
                host.counts.add("refused_full")
                return ctx.refuse(status = 503, reason = "all ${host.settings.slots} slots are taken")
            }
        host.counts.add("import")
        val fetched = fetch(engine = engine, slot = slot, request = request)
        answer(ctx = ctx, engine = engine, slot = slot, fetched = fetched)
    }

    private fun fetch(engine: Engine, slot: DecodeSlot, request: ImportRequest): KvFetch {
        val stop = { engine.dead || slot.cancelled }
        val fetched =
            engine.link.exclusively(stop) {
                val start = System.nanoTime()
                val result = fetcher.fetch(address = request.sourceAddress, handle = request.kvHandle, stop = stop)
                if (result is KvFetch.Fetched) {
                    // The transfer takes the time of the slower of the two links.
                    val left = engine.link.nanosFor(result.content.kvBytes) - (System.nanoTime() - start)
                    Waits.sleep(nanos = left, stop = stop)
                }
                result
            }
        return fetched ?: KvFetch.Failed("cancelled")
    }

    private fun answer(ctx: Context, engine: Engine, slot: DecodeSlot, fetched: KvFetch) {
        if (engine.dead) return ctx.breakConnection()
        if (slot.cancelled) return ctx.refuse(status = 499, reason = "cancelled")
        when (fetched) {
            is KvFetch.Fetched -> {
                slot.content = fetched.content
                ctx.reply(status = 200, body = emptyMap<String, String>())
            }
            is KvFetch.Expired -> {
                engine.cancel(slot.id)
                ctx.refuse(status = 410, reason = "the KV cache expired")
            }
            is KvFetch.Failed -> {
                engine.cancel(slot.id)
                ctx.refuse(status = 502, reason = "transfer failed: ${fetched.reason}")
            }
        }
    }
}
