package fireflyhinge.daemon.engine

import fireflyhinge.config.UpstreamRole
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.engine.ChatMessage
import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.EngineResult
import fireflyhinge.engine.Holder
import fireflyhinge.engine.ImportRequest
import fireflyhinge.engine.PrefillRequest
import fireflyhinge.engine.PrefillResult
import fireflyhinge.standin.AnswerGenerator
import fireflyhinge.standin.EngineServer
import fireflyhinge.standin.engine.EngineSettings

/** A prefill and a decode engine with short steps, and a client. */
internal class EngineFixture(change: (EngineSettings) -> EngineSettings = { it }) : AutoCloseable {
    private val fast =
        EngineSettings(
            role = UpstreamRole.PREFILL,
            prefillMicrosPerToken = 10,
            decodeStepMicros = 2_000,
            kvExpiryMillis = HANG_MILLIS,
        )
    val prefill = EngineServer(change(fast))
    val decode = EngineServer(change(fast.copy(role = UpstreamRole.DECODE)))
    private val http = OutboundHttp(traceparent = { TRACE })
    val client = HttpEngineClient(http)

    fun prefill(
        id: EngineRequestId = ID,
        messages: List<ChatMessage> = MESSAGES,
        resumed: List<String> = emptyList(),
        timeoutMillis: Long = HANG_MILLIS,
        scope: String = "w1",
    ): EngineResult<PrefillResult> {
        val request = PrefillRequest(id, HOLDER, "t1", "m", scope, messages, resumed)
        return client.prefill(prefill.address, request, timeoutMillis)
    }

    fun import(kv: PrefillResult, timeoutMillis: Long = HANG_MILLIS): EngineResult<Unit> {
        val request = ImportRequest(kv.id, HOLDER, "t1", sourceAddress = prefill.address, kvHandle = kv.kvHandle)
        return client.importKv(decode.address, request, timeoutMillis)
    }

    /** Prefills and imports [id], which must succeed. */
    fun prepare(id: EngineRequestId = ID, resumed: List<String> = emptyList()): PrefillResult =
        prefill(id = id, resumed = resumed).value().also { import(it).value() }

    fun decode(
        id: EngineRequestId = ID,
        firstIndex: Int = 0,
        progressMillis: Long = 1_000,
        onEvent: (DecodeEvent) -> Boolean = { true },
    ): EngineResult<DecodeEvent.End> =
        client.decode(decode.address, DecodeRequest(id, MAX_TOKENS, firstIndex), progressMillis, onEvent)

    override fun close() {
        http.close()
        prefill.close()
        decode.close()
    }

    companion object {
        /** Time after which an engine counts as hung: no promise covers the speed of a stand-in on a busy machine. */
        const val HANG_MILLIS = 30_000L
        const val TRACE = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
        const val MAX_TOKENS = 100
        val ID = EngineRequestId(request = "r1", attempt = 1)
        val HOLDER = Holder(vm = "vm1", incarnation = 1)
        val MESSAGES = listOf(ChatMessage(role = "user", content = "list the stock tokens=30"))
        val ANSWER = AnswerGenerator(model = "m", messages = MESSAGES)
    }
}

internal fun <T> EngineResult<T>.value(): T =
    when (this) {
        is EngineResult.Ok -> value
        is EngineResult.Failed -> throw AssertionError("the engine call failed: $failure")
    }

internal fun EngineResult<*>.failure(): EngineFailure = (this as EngineResult.Failed).failure
