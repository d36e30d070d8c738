package fireflyhinge.daemon.cell

import fireflyhinge.engine.EngineClient
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.EngineResult
import fireflyhinge.engine.HeldRequest
import java.lang.reflect.Proxy
import java.util.concurrent.ConcurrentHashMap

private val unused =
    Proxy.newProxyInstance(EngineClient::class.java.classLoader, arrayOf(EngineClient::class.java)) { _, method, _ ->
        error("${method.name} is not used")
    } as EngineClient

/** Engines that only report: [held] by address. */
internal class FakeEngines(private val slots: Int) : EngineClient by unused {
    val held = ConcurrentHashMap<String, List<HeldRequest>>()
    val cancelled: MutableSet<EngineRequestId> = ConcurrentHashMap.newKeySet()

    override fun readLoad(address: String) =
        EngineResult.Ok(EngineLoad(incarnation = 1, running = 0, queuedPrefillTokens = 0, slots = slots))

    override fun listHeldRequests(address: String) = EngineResult.Ok(held[address].orEmpty())

    override fun cancel(address: String, id: EngineRequestId): EngineResult<Unit> {
        cancelled += id
        held.computeIfPresent(address) { _, list -> list.filter { it.id != id } }
        return EngineResult.Ok(Unit)
    }
}
