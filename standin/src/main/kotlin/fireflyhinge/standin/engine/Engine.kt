package fireflyhinge.standin.engine

import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.HeldRequest
import fireflyhinge.engine.Holder
import fireflyhinge.standin.CallCounts
import java.util.concurrent.TimeUnit

/** The state of an engine that a crash loses. */
internal class Engine(
    val settings: EngineSettings,
    val incarnation: Long,
    faults: EngineFaults,
    counts: CallCounts,
) : AutoCloseable {
    @Volatile var dead: Boolean = false
        private set

    val events = CacheEventLog(lagMillis = settings.eventLagMillis, lossPercent = settings.eventLossPercent)
    val cache = PrefixCache(capacity = settings.cacheBlocks, events = events)
    val prefills = PrefillUnit(settings.prefillMicrosPerToken)
    val link = TransferLink(settings.linkMegabytesPerSecond)
    val memory = KvMemory { counts.add(kind = "expired_tokens", amount = it.content.promptTokens.toLong()) }
    val decodes = DecodeSlots(limit = settings.slots)
    val orders = OrderBook(settings, faults)

    init {
        DecodeBatch(settings, decodes) { counts.add(kind = "tokens", amount = it.toLong()) }
    }

    /** Frees whatever is held for [id]. */
    fun cancel(id: EngineRequestId) {
        val matches = { other: EngineRequestId -> other == id }
        prefills.cancel(matches)
        memory.cancel(matches)
        decodes.cancel(matches)
    }

    /** All requests that hold memory. */
    fun held(): List<HeldRequest> =
        prefills.jobs().map { held(it.request.id, it.request.holder, it.request.ticket, it.since) } +
            memory.all().map { held(it.id, it.holder, it.ticket, it.since) } +
            decodes.all().map { held(it.id, it.holder, it.ticket, it.since) }

    private fun held(id: EngineRequestId, holder: Holder, ticket: String, since: Long) =
        HeldRequest(
            id = id,
            holder = holder,
            ticket = ticket,
            ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since),
        )

    /** The load at this moment. */
    fun load(): EngineLoad {
        val jobs = prefills.jobs()
        // Read first: it ends an order whose time is over, which changes the state.
        val order = orders.progress()
        return EngineLoad(
            incarnation = incarnation,
            running = if (orders.role == UpstreamRole.PREFILL) jobs.size else decodes.all().size,
            queuedPrefillTokens = jobs.sumOf { it.tokens.toLong() },
            slots = settings.slots,
            role = orders.role,
            models = orders.models,
            adapters = orders.adapters,
            version = orders.version,
            order = order,
        )
    }

    /** Ends everything; handlers that still run break their connections. */
    override fun close() {
        dead = true
        prefills.cancel { true }
        memory.cancel { true }
        decodes.close()
    }
}
