package fireflyhinge.slopes

import fireflyhinge.Json
import fireflyhinge.config.Priority
import fireflyhinge.config.Upstream
import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.Holder
import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.peer.TicketUpdate
import fireflyhinge.schedule.Cell
import fireflyhinge.schedule.update

/** Processor time of one request at the owner of a cell with [replicas] replicas, and heap of its tickets. */
internal class CellSlope(private val replicas: Int) {
    private val cell = Cell(epoch = 1, startedAt = 0)
    private val upstreams =
        (1..replicas).map { upstream(it, if (it % 2 == 0) UpstreamRole.PREFILL else UpstreamRole.DECODE) }
    private val held = replicas / 2 * SLOTS / 2
    private var now = 0L

    /** One line with the means, while half of the decode slots are taken. */
    fun run(): String {
        cell.configure(upstreams, weights = (0 until WORKSPACES).associate { "workspace-$it" to 1.0 })
        upstreams.forEach { cell.reconcile(it.name, emptyList(), now) }
        repeat(OPEN_PASSES) { pass() }
        val before = Processor.liveHeap()
        repeat(held) { checkNotNull(place(it)) { "request $it is not placed" } }
        val bytes = (Processor.liveHeap() - before) / held
        val micros = Processor.micros(WARM, COUNT) { serve(held + it) }
        return "cell replicas $replicas, $held tickets: request ${"%.1f".format(micros)} us, $bytes B a ticket"
    }

    private fun serve(number: Int) {
        val placed = checkNotNull(place(number)) { "request $number is not placed" }
        val update =
            TicketUpdate(placed.ticket, request(number), placed.prefillReplica, placed.decodeReplica, released = true)
        cell.update(Json.decode<TicketUpdate>(Json.encode(update)), now)
    }

    /** Places one request, encoded and decoded as on the wire. */
    private fun place(number: Int): PlaceReply.Placed? {
        now += MILLIS_BETWEEN
        val request = Json.decode<PlaceRequest>(Json.encode(request(number)))
        val answers = cell.requestPlacement(request, now)?.let { listOf(it) } ?: cell.processDue(now).values
        val decoded = answers.map { Json.decode<PlaceReply>(Json.encode(it)) }
        return decoded.filterIsInstance<PlaceReply.Placed>().firstOrNull()
    }

    private fun pass() {
        now += PASS_MILLIS
        cell.processDue(now)
    }

    private fun request(number: Int) =
        PlaceRequest(
            requestId = "request-$number",
            attempt = 1,
            holder = Holder("vm-1", 1),
            service = "model",
            workspace = "workspace-${number % WORKSPACES}",
            failureDomain = "west-1",
            priority = Priority.INTERACTIVE,
            promptTokens = PROMPT,
            maxOutputTokens = OUTPUT,
            prefixHashes = emptyList(),
            maxWaitMillis = WAIT_MILLIS,
            fingerprint = "f".repeat(HASH),
        )

    private fun upstream(number: Int, role: UpstreamRole) =
        Upstream("replica-$number", "model", role, "10.0.0.$number:1", "west", "west-1", slots = SLOTS)

    private companion object {
        const val SLOTS = 20
        const val WORKSPACES = 20
        const val PROMPT = 300
        const val OUTPUT = 64
        const val HASH = 64
        const val WAIT_MILLIS = 1_300L
        const val PASS_MILLIS = 100L
        const val OPEN_PASSES = 20

        // Slow enough that no prefill replica is busy when the next request comes.
        const val MILLIS_BETWEEN = 40L
        const val WARM = 2_000
        const val COUNT = 5_000
    }
}
