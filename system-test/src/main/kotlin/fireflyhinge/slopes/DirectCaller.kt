package fireflyhinge.slopes

import fireflyhinge.daemon.engine.HttpEngineClient
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.engine.ChatMessage
import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.EngineResult
import fireflyhinge.engine.Holder
import fireflyhinge.engine.ImportRequest
import fireflyhinge.engine.PrefillRequest
import fireflyhinge.systemtest.ChatOutcome
import fireflyhinge.systemtest.Fleet

/** Calls the engines of [fleet] without a daemon, as the baseline for times through one. */
internal class DirectCaller(fleet: Fleet) {
    private val engines = HttpEngineClient(OutboundHttp())
    private val prefill = fleet.upstreams.getValue("prefill-1").listening
    private val decode = fleet.upstreams.getValue("decode-1").listening
    private val holder = Holder(vm = "direct", incarnation = 1)

    /** Prefills, imports and decodes request [number]. */
    fun run(number: Int, tokens: Int): ChatOutcome {
        val id = EngineRequestId(request = "direct-$number", attempt = 1)
        val messages = listOf(ChatMessage("user", "question $number of a short prompt"))
        val startedAt = System.nanoTime()
        val times = mutableListOf<Long>()
        val request = PrefillRequest(id, holder, id.request, "model", cacheScope = "direct", messages = messages)
        val filled = engines.prefill(prefill, request, TIMEOUT_MILLIS)
        check(filled is EngineResult.Ok) { "prefill: $filled" }
        val import = ImportRequest(id, holder, id.request, prefill, filled.value.kvHandle)
        val imported = engines.importKv(decode, import, TIMEOUT_MILLIS)
        check(imported is EngineResult.Ok) { "import: $imported" }
        val end =
            engines.decode(decode, DecodeRequest(id, tokens), TIMEOUT_MILLIS) {
                if (it is DecodeEvent.Token) times += System.nanoTime()
                true
            }
        val whole = end is EngineResult.Ok
        return ChatOutcome("direct", startedAt, System.nanoTime(), times, text = "", whole = whole, status = STATUS_OK)
    }

    private companion object {
        const val TIMEOUT_MILLIS = 3_000L
        const val STATUS_OK = 200
    }
}
