package fireflyhinge.standin.engine

import fireflyhinge.Json
import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.PrefillRequest
import fireflyhinge.engine.PrefillResult
import fireflyhinge.standin.AnswerGenerator
import fireflyhinge.standin.http.breakConnection
import fireflyhinge.standin.http.decodeBody
import fireflyhinge.standin.http.refuse
import io.javalin.http.Context
import java.util.UUID
import java.util.concurrent.TimeUnit

/** `POST /v1/prefill`. */
internal class PrefillHandler(private val host: EngineHost) {
    fun handle(ctx: Context) {
        val engine = host.engine
        val request = ctx.decodeBody<PrefillRequest>()
        val refusal = refusalOf(orders = engine.orders, request = request)
        if (refusal != null) return ctx.refuse(status = refusal.status, reason = refusal.reason)
        host.counts.add("prefill")
        run(ctx = ctx, engine = engine, request = request)
    }

    private fun refusalOf(orders: OrderBook, request: PrefillRequest): Refusal? {
        val answer = AnswerGenerator(model = request.model, messages = request.messages)
        val wrong = request.resumedTokens.withIndex().firstOrNull { (i, token) -> token != answer.token(i) }
        return when {
            orders.role != UpstreamRole.PREFILL -> Refusal(status = 409, reason = "the role is ${orders.role}")
            !orders.serves(request.model) -> Refusal(status = 404, reason = "model ${request.model} is not loaded")
            wrong != null -> Refusal(status = 422, reason = "resumed token ${wrong.index} is wrong")
            else -> null
        }
    }

    private fun run(ctx: Context, engine: Engine, request: PrefillRequest) {
        val prompt = PromptTokens(request)
        val blocks = prompt.blocks(host.settings.blockTokens)
        val cached = engine.cache.match(blocks) * host.settings.blockTokens
        val job = engine.prefills.enqueue(request = request, tokens = prompt.words.size - cached)
        val stream = AnswerStream(ctx = ctx, silence = host.silence, contentType = "application/json")
        val started = { crashIfPoisoned(prompt) }
        val finished = engine.prefills.run(job = job, started = started) { beat(stream = stream, job = job) }
        if (engine.dead) return ctx.breakConnection()
        if (!finished) {
            stream.write(text = Json.encode(mapOf("error" to "cancelled"))) { true }
            return
        }
        engine.cache.store(scope = request.cacheScope, names = blocks)
        host.counts.add(kind = "prefill_tokens", amount = job.tokens.toLong())
        host.counts.add(kind = "cached_tokens", amount = cached.toLong())
        val result = retain(engine = engine, request = request, tokens = prompt.words.size, cached = cached)
        stream.write(text = Json.encode(result)) { engine.dead }
    }

    private fun beat(stream: AnswerStream, job: PrefillJob) {
        val connected = stream.beat()
        if (!connected && host.settings.cancelOnDisconnectPrefill) job.cancelled = true
    }

    private fun crashIfPoisoned(prompt: PromptTokens) {
        if (prompt.words.any { it in host.faults.poison }) host.crash()
    }

    private fun retain(engine: Engine, request: PrefillRequest, tokens: Int, cached: Int): PrefillResult {
        val handle = UUID.randomUUID().toString()
        val content =
            KvContent(
                model = request.model,
                messages = request.messages,
                resumedTokens = request.resumedTokens.size,
                promptTokens = tokens,
                kvBytes = tokens * host.settings.kvBytesPerToken,
            )
        val expiry = host.settings.kvExpiryMillis
        val entry =
            KvEntry(
                id = request.id,
                holder = request.holder,
                ticket = request.ticket,
                content = content,
                expiresAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(expiry),
            )
        engine.memory.put(handle = handle, entry = entry)
        return PrefillResult(
            id = request.id,
            kvHandle = handle,
            promptTokens = tokens,
            cachedTokens = cached,
            kvBytes = content.kvBytes,
            expiresInMillis = expiry,
        )
    }
}
