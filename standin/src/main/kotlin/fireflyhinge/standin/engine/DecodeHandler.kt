package fireflyhinge.standin.engine

import fireflyhinge.Json
import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.standin.http.breakConnection
import fireflyhinge.standin.http.decodeBody
import fireflyhinge.standin.http.refuse
import io.javalin.http.Context

/** `POST /v1/decode`: server-sent events of type `token`, then `end`, or `cancelled`. */
internal class DecodeHandler(private val host: EngineHost) {
    fun handle(ctx: Context) {
        val engine = host.engine
        val request = ctx.decodeBody<DecodeRequest>()
        val slot = engine.decodes.of(request.id) ?: return ctx.refuse(status = 410, reason = "no KV cache is held")
        if (isPoisoned(slot)) host.crash()
        if (engine.dead) return ctx.breakConnection()
        val refusal = engine.decodes.attach(slot = slot, request = request)
        if (refusal != null) return ctx.refuse(status = 409, reason = refusal)
        host.counts.add("decode")
        val complete = stream(ctx = ctx, engine = engine, slot = slot, request = request)
        if (engine.dead) return ctx.breakConnection()
        // A broken connection frees nothing by itself unless the setting says so; the request stays held.
        val free = complete || host.settings.cancelOnDisconnectDecode
        if (free) engine.cancel(slot.id) else engine.decodes.detach(slot)
    }

    private fun isPoisoned(slot: DecodeSlot): Boolean {
        val words = host.faults.poison
        if (words.isEmpty()) return false
        return slot.content?.messages.orEmpty().any { message -> message.content.split(WHITESPACE).any { it in words } }
    }

    private fun stream(ctx: Context, engine: Engine, slot: DecodeSlot, request: DecodeRequest): Boolean {
        val stream = AnswerStream(ctx = ctx, silence = host.silence, contentType = "text/event-stream")
        val send = { type: String, event: Any ->
            stream.write(text = "event: $type\ndata: ${Json.encode(event)}\n\n") { engine.dead || slot.cancelled }
        }
        var index = request.firstIndex
        var token = engine.decodes.token(slot = slot, index = index)
        while (token != null) {
            val event = DecodeEvent.Token(id = slot.id, index = index, text = token)
            val events = if (host.faults.crossEvents) crossed(event) else listOf(event)
            if (!events.all { send("token", it) }) return false
            index += 1
            token = engine.decodes.token(slot = slot, index = index)
        }
        if (engine.dead) return false
        if (slot.cancelled) return send("cancelled", emptyMap<String, String>())
        // Before the end event, so that its receiver can use the slot at once.
        engine.cancel(slot.id)
        val reason = slot.answer?.finishReason(request.maxTokens).orEmpty()
        return send("end", DecodeEvent.End(id = slot.id, finishReason = reason, tokens = slot.count))
    }

    /** [event] between an event of another attempt and its own repetition. */
    private fun crossed(event: DecodeEvent.Token): List<DecodeEvent.Token> {
        val foreign = event.copy(id = event.id.copy(attempt = event.id.attempt + 1), text = "foreign ")
        return listOf(foreign, event, event)
    }

    private companion object {
        val WHITESPACE = Regex("\\s+")
    }
}
