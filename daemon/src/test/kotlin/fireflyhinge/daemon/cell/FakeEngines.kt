package fireflyhinge.daemon.cell

import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineClient
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.EngineResult
import fireflyhinge.engine.HeldRequest
import fireflyhinge.engine.ImportRequest
import fireflyhinge.engine.PrefillRequest
import fireflyhinge.engine.PrefillResult
import java.util.concurrent.ConcurrentHashMap

/** Engines that only report: [held] by address. */
internal class FakeEngines(private val slots: Int) : EngineClient {
    val held = ConcurrentHashMap<String, List<HeldRequest>>()
    val cancelled: MutableSet<EngineRequestId> = ConcurrentHashMap.newKeySet()

    override fun load(address: String) =
        EngineResult.Ok(EngineLoad(incarnation = 1, running = 0, queuedPrefillTokens = 0, slots = slots))

    override fun held(address: String) = EngineResult.Ok(held[address].orEmpty())

    override fun cancel(address: String, id: EngineRequestId): EngineResult<Unit> {
        cancelled += id
        held.computeIfPresent(address) { _, list -> list.filter { it.id != id } }
        return EngineResult.Ok(Unit)
    }

    override fun prefill(address: String, request: PrefillRequest, timeoutMillis: Long): EngineResult<PrefillResult> =
        error("not used")

    override fun importKv(address: String, request: ImportRequest, timeoutMillis: Long): EngineResult<Unit> =
        error("not used")

    override fun decode(
        address: String,
        request: DecodeRequest,
        progressMillis: Long,
        onEvent: (DecodeEvent) -> Boolean,
    ): EngineResult<DecodeEvent.End> = error("not used")

    override fun order(address: String, order: EngineOrder): EngineResult<Unit> = error("not used")
}
