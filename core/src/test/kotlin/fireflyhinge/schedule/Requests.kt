package fireflyhinge.schedule

import fireflyhinge.config.Priority
import fireflyhinge.config.Upstream
import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.Holder
import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.peer.TicketUpdate

/** A request with defaults for a small prompt. */
internal fun request(id: String, workspace: String = "w", priority: Priority = Priority.INTERACTIVE) =
    PlaceRequest(
        requestId = id,
        attempt = 1,
        holder = Holder("vm", 1),
        service = "m",
        workspace = workspace,
        failureDomain = "d",
        priority = priority,
        promptTokens = 1_000,
        maxOutputTokens = 100,
        prefixHashes = listOf("$workspace-1"),
        maxWaitMillis = if (priority == Priority.BATCH) 600_000 else 10_000,
        fingerprint = id,
        firstTokenMillis = if (priority == Priority.BATCH) null else 1_300,
    )

/** [count] replicas of [role]. */
internal fun upstreams(role: UpstreamRole, count: Int, slots: Int = 2): List<Upstream> =
    (1..count).map {
        Upstream(
            name = "$role-$it",
            service = "m",
            role = role,
            address = "$role-$it:1",
            region = "r",
            failureDomain = "d",
            slots = slots,
        )
    }

/** A cell after its takeover grace period, with all replicas listed as empty; [OPEN] is the first time to use. */
internal fun openCell(
    prefills: Int = 1,
    decodes: Int = 1,
    slots: Int = 2,
    settings: SchedulerSettings = SchedulerSettings()
) =
    Cell(epoch = 1, startedAt = 0, settings = settings).also { cell ->
        val decode = upstreams(UpstreamRole.DECODE, decodes, slots)
        cell.configure(upstreams(UpstreamRole.PREFILL, prefills) + decode, emptyMap())
        decode.forEach { cell.reconcile(it.name, emptyList(), now = 0) }
        // The steps are short enough not to count as a pause of the process.
        (0L..OPEN step 100).forEach(cell::processDue)
    }

/** Time at which the cell of [openCell] places requests. */
internal const val OPEN = 2_000L

/** The holder's report about a placed request. */
internal fun report(request: PlaceRequest, placed: PlaceReply.Placed, released: Boolean = false) =
    TicketUpdate(
        ticket = placed.ticket,
        request = request,
        prefillReplica = placed.prefillReplica,
        decodeReplica = placed.decodeReplica,
        released = released,
    )
