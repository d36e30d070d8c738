package fireflyhinge.schedule

import fireflyhinge.config.Priority
import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.HeldRequest
import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import kotlin.random.Random

/**
 * Simulates the engines and holders of one cell in virtual time, in steps of 10 ms. Prefills run one after the other,
 * decodes have random lengths, and holders report once a second. [violations] lists what the engines would have refused
 * and what must not happen.
 */
internal class VirtualPool(private val seed: Int, private val decodes: Int = 4, private val prefills: Int = 4) {
    class Running(
        val request: PlaceRequest,
        val placed: PlaceReply.Placed,
        val placedAt: Long,
        val prefillEnd: Long,
        val cached: Int,
    ) {
        var lastToken = Long.MAX_VALUE
        var tokens = 0
        val decoding get() = lastToken != Long.MAX_VALUE
    }

    private val random = Random(seed)
    private val upstreams = upstreams(UpstreamRole.PREFILL, prefills) + upstreams(UpstreamRole.DECODE, decodes, SLOTS)
    private val arrivalsOf = HashMap<String, Random>()
    private val prefillFree = HashMap<String, Long>()
    private val pending = LinkedHashMap<String, PlaceRequest>()
    val running = LinkedHashMap<String, Running>()
    private val arrivedAt = HashMap<String, Long>()
    val placed = HashMap<String, PlaceRequest>()

    /** Requests placed too late for the first-token target. */
    val late = HashMap<String, PlaceRequest>()

    /** Requests whose first token came within the target, with their arrival. */
    val onTime = HashMap<String, Long>()
    val refused = HashMap<String, PlaceRequest>()
    val violations = mutableListOf<String>()
    var now = 0L
    private var cell: Cell? = null

    init {
        takeover()
    }

    /** Replaces the owner by one without state. */
    fun takeover() {
        cell = Cell(epoch = now, startedAt = now).also { it.configure(upstreams, emptyMap()) }
    }

    /** Stops the owner. */
    fun stopOwner() {
        cell = null
    }

    /** Runs for [millis]; [arrivals] gives the rate of each workspace in requests per second. */
    fun run(millis: Long, arrivals: Map<String, Double> = emptyMap(), change: (PlaceRequest) -> PlaceRequest = { it }) {
        val end = now + millis
        while (now < end) {
            arrivals.forEach { (name, rate) ->
                // Each workspace draws from its own sequence, so that its arrivals do not depend on the others.
                val source = arrivalsOf.getOrPut(name) { Random(seed * 1_000 + name.hashCode()) }
                if (source.nextDouble() < rate * STEP / 1_000) arrive(name, source.nextInt(200, 1_500), change)
            }
            step()
            now += STEP
        }
    }

    private fun arrive(workspace: String, tokens: Int, change: (PlaceRequest) -> PlaceRequest) {
        val priority = if (workspace.startsWith("batch")) Priority.BATCH else Priority.INTERACTIVE
        val request = change(request("$workspace-$now", workspace, priority).copy(promptTokens = tokens))
            .let { if (tokens % 2 == 0) it else it.copy(prefixHashes = emptyList()) }
        pending[request.ticketId()] = request
        arrivedAt[request.ticketId()] = now
    }

    /** The request as its holder sends it now, with the remaining time. */
    private fun PlaceRequest.withRemainingTime(): PlaceRequest {
        val waited = now - arrivedAt.getValue(ticketId())
        val left = maxOf(1, maxWaitMillis - waited)
        return copy(maxWaitMillis = left, firstTokenMillis = firstTokenMillis?.minus(waited))
    }

    private fun step() {
        running.values.toList().forEach(::advance)
        val owner = cell ?: return
        pending.values.toList().forEach { request ->
            owner.requestPlacement(request.withRemainingTime(), now)?.let { answer(request.ticketId(), it) }
        }
        owner.processDue(now).forEach(::answer)
        if (now % 500 == 0L) upstreams.forEach { owner.recordLoad(it.name, load(it.name), now) }
        if (now % 1_000 == 20L) upstreams.forEach { list(owner, it.name) }
    }

    private fun answer(id: String, reply: PlaceReply) {
        val request = pending.remove(id) ?: return
        if (reply !is PlaceReply.Placed) {
            refused[id] = request
            return
        }
        placed[id] = request
        // The engine had evicted the prefix in some cases.
        val cached = if (random.nextInt(10) == 0) 0 else minOf(request.prefixHashes.size * 1_000, request.promptTokens)
        val work = ((request.promptTokens - cached) / 10.0 * random.nextDouble(0.95, 1.05)).toLong()
        val end = maxOf(now, prefillFree[reply.prefillReplica] ?: 0) + work
        prefillFree[reply.prefillReplica] = end
        val waited = now - arrivedAt.getValue(id)
        running[id] = Running(request, reply, placedAt = now, prefillEnd = end, cached = cached)
        if (waited > TARGET && request.firstTokenMillis != null) late[id] = request
        val together = running.values.filter { it.placed.decodeReplica == reply.decodeReplica }
        val suspects = together.map { it.request.crashes }.filter { it > 0 }
        val limit = if (suspects.any { it > 1 }) 1 else 4
        if (suspects.size > limit) violations += "suspects on ${reply.decodeReplica}: $suspects"
    }

    private fun advance(it: Running) {
        if (!it.decoding && now >= it.prefillEnd) startDecode(it)
        if (it.decoding && now % TOKEN == 0L) it.tokens++
        val ended = now >= it.lastToken
        // Each holder reports at its own offset within the second; a release is sent at once if there is an owner.
        val due = (now - it.placedAt) % 1_000 == 0L
        if (!due && !ended) return
        val update = report(it.request, it.placed, released = ended).copy(
            generatedTokens = it.tokens,
            prefillDone = it.decoding,
            cachedTokens = it.cached.takeIf { _ -> it.decoding },
            prefillMillis = (it.prefillEnd - it.placedAt).takeIf { _ -> it.decoding },
        )
        if (cell?.update(update, now) == false) violations += "live ticket expired: ${update.ticket}"
        if (ended && cell != null) running -= update.ticket
    }

    private fun startDecode(started: Running) {
        val replica = started.placed.decodeReplica
        val taken = running.values.count { it.decoding && it.lastToken > now && it.placed.decodeReplica == replica }
        if (taken >= SLOTS) violations += "slots of $replica exceeded at $now"
        val id = started.request.ticketId()
        val arrived = arrivedAt.getValue(id)
        if (now + TOKEN - arrived <= TARGET) onTime[id] = arrived
        started.lastToken = now + TOKEN * random.nextInt(20, started.request.maxOutputTokens + 1)
    }

    private fun load(replica: String): EngineLoad {
        val decoding = running.values.count { it.decoding && it.placed.decodeReplica == replica }
        val queued = maxOf(0, (prefillFree[replica] ?: 0) - now) * 10
        return EngineLoad(incarnation = 1, running = decoding, queuedPrefillTokens = queued, slots = SLOTS)
    }

    private fun list(owner: Cell, replica: String) {
        val held =
            running.values
                .filter { now < it.lastToken }
                .filter { (if (it.decoding) it.placed.decodeReplica else it.placed.prefillReplica) == replica }
                .map { HeldRequest(EngineRequestId(it.request.requestId, 1), it.request.holder, it.placed.ticket, 0) }
        owner.reconcile(replica, held, now).forEach { violations += "live request cancelled: ${it.id}" }
    }

    companion object {
        const val SLOTS = 10
        private const val STEP = 10L
        private const val TOKEN = 20L
        private const val TARGET = 1_300L
    }
}
