package fireflyhinge.daemon.fake

import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineClient
import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.EngineResult
import fireflyhinge.engine.HeldRequest
import fireflyhinge.engine.ImportRequest
import fireflyhinge.engine.PrefillRequest
import fireflyhinge.engine.PrefillResult
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/** Engines that generate the tokens `t0 t1 ..` and fail as [faults] says, keyed by step and attempt. */
class FakeEngines(private val length: Int = 5) : EngineClient {
    val faults = ConcurrentHashMap<Pair<String, Int>, EngineFailure>()
    val prefills = CopyOnWriteArrayList<PrefillRequest>()
    val decodes = CopyOnWriteArrayList<DecodeRequest>()
    val cancels = CopyOnWriteArrayList<Pair<String, EngineRequestId>>()
    val loads = ConcurrentHashMap<String, EngineResult<EngineLoad>>()

    /** Called before a token is sent or, with an index of -1, before a prefill ends. */
    var before: (id: EngineRequestId, index: Int) -> Unit = { _, _ -> }

    /** Events that attempt 1 sends in place of the usual ones. */
    var script: ((EngineRequestId) -> List<DecodeEvent>)? = null

    override fun prefill(
        address: String,
        request: PrefillRequest,
        timeoutMillis: Long,
    ): EngineResult<PrefillResult> {
        prefills.add(request)
        faults["prefill" to request.id.attempt]?.let { return EngineResult.Failed(it) }
        return interruptible {
            before(request.id, -1)
            EngineResult.Ok(PrefillResult(request.id, "kv", 3 + request.resumedTokens.size, 1, 10, 900))
        }
    }

    override fun importKv(address: String, request: ImportRequest, timeoutMillis: Long): EngineResult<Unit> =
        faults["import" to request.id.attempt]?.let { EngineResult.Failed(it) } ?: EngineResult.Ok(Unit)

    override fun decode(
        address: String,
        request: DecodeRequest,
        progressMillis: Long,
        onEvent: (DecodeEvent) -> Boolean,
    ): EngineResult<DecodeEvent.End> {
        decodes.add(request)
        return interruptible { stream(request, onEvent) }
    }

    private fun stream(request: DecodeRequest, onEvent: (DecodeEvent) -> Boolean): EngineResult<DecodeEvent.End> {
        val total = minOf(length, request.maxTokens)
        val usual = (request.firstIndex until total).map { DecodeEvent.Token(request.id, it, "t$it ") }
        val events = script?.takeIf { request.id.attempt == 1 }?.invoke(request.id) ?: usual
        events.forEachIndexed { i, event ->
            fault(request.id, i)?.let { return it }
            before(request.id, i)
            if (!onEvent(event)) return EngineResult.Failed(EngineFailure.Cancelled)
        }
        fault(request.id, events.size)?.let { return it }
        val end = events.filterIsInstance<DecodeEvent.End>().firstOrNull()
        return EngineResult.Ok(end ?: DecodeEvent.End(request.id, "stop", total))
    }

    override fun cancel(address: String, id: EngineRequestId): EngineResult<Unit> {
        cancels.add(address to id)
        return EngineResult.Ok(Unit)
    }

    override fun readLoad(address: String): EngineResult<EngineLoad> =
        loads[address] ?: EngineResult.Ok(EngineLoad(incarnation = 1, running = 0, queuedPrefillTokens = 0, slots = 20))

    override fun listHeldRequests(address: String): EngineResult<List<HeldRequest>> = EngineResult.Ok(emptyList())

    override fun sendOrder(address: String, order: EngineOrder, permitted: () -> Boolean): EngineResult<Unit> =
        EngineResult.Ok(Unit)

    private fun <T> interruptible(block: () -> EngineResult<T>): EngineResult<T> =
        try {
            block()
        } catch (_: InterruptedException) {
            EngineResult.Failed(EngineFailure.Cancelled)
        }

    private fun fault(id: EngineRequestId, index: Int) =
        faults["decode$index" to id.attempt]?.let { EngineResult.Failed(it) }
}
