package fireflyhinge.standin

import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.HeldRequest
import fireflyhinge.standin.engine.EngineControl
import fireflyhinge.standin.engine.EngineFaults
import fireflyhinge.standin.engine.EngineHost
import fireflyhinge.standin.engine.EngineRoutes
import fireflyhinge.standin.engine.EngineSettings
import fireflyhinge.standin.engine.KvFetcher
import fireflyhinge.standin.engine.WarmUp
import fireflyhinge.standin.http.StandinHost

/** Stand-in for a prefill or decode engine on [listen] (`host:port`, port 0 selects a free one). */
class EngineServer(settings: EngineSettings, listen: String = "127.0.0.1:0") : AutoCloseable {
    /** Fault control. */
    val faults: EngineFaults = EngineFaults()

    /** Calls and amounts: prefill, prefill_tokens, cached_tokens, expired_tokens, tokens, refused_full and others. */
    val counts: CallCounts = CallCounts()

    /** Calls received. */
    val received: ReceivedCalls = ReceivedCalls()

    private val state = EngineHost(settings = settings, faults = faults, counts = counts)
    private val fetcher = KvFetcher()
    private val host =
        StandinHost(listen = listen) { config ->
            EngineRoutes(host = state, received = received, fetcher = fetcher).addTo(config.routes)
            EngineControl(host = state, received = received).addTo(config.routes)
        }

    init {
        WarmUp.run(fetcher = fetcher, address = host.address)
        received.reset()
    }

    /** `host:port` as bound. */
    val address: String get() = host.address

    /** Requests that hold memory, without lag. */
    val held: List<HeldRequest> get() = state.engine.held()

    /** The load without lag. */
    val load: EngineLoad get() = state.engine.load()

    /** Orders accepted since the last crash. */
    val orders: List<EngineOrder> get() = state.engine.orders.accepted()

    /** Ends the process if the settings say so; otherwise breaks all connections and loses all state. */
    fun crash() = state.crash()

    /** Makes the connections that are open now silent for good, while new ones work. */
    fun silenceOpenConnections() = state.silence.silenceOpen()

    override fun close() {
        state.close()
        fetcher.close()
        host.close()
    }
}
