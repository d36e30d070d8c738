package fireflyhinge.schedule

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.HeldRequest
import fireflyhinge.engine.Holder
import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.peer.TicketUpdate

/**
 * Decisions of one cell under one epoch: who waits, who gets which slot, which requests at engines are orphans. It
 * starts without knowledge, as after a takeover. Not thread-safe; times are the owner's monotonic milliseconds.
 *
 * @param dead whether there is evidence that a holder's process can no longer run; what it held is freed at once.
 */
class Cell(
    private val epoch: Long,
    startedAt: Long,
    private val settings: SchedulerSettings = SchedulerSettings(),
    private val dead: (Holder) -> Boolean = { false },
) {
    private var weights: Map<String, Double> = emptyMap()
    private val replicas = CellReplicas(settings)
    private val queue = FairQueue(settings.classWeights) { maxOf(weights[it] ?: 1.0, MIN_WEIGHT) }
    private val book = TicketTable(settings)
    private val orphans = OrphanDetector(settings, book, dead)
    private val rates = ServiceRates()
    private val retryAfterMillis = settings.firstTokenMillis
    private val withdrawn = mutableListOf<String>()
    private var expiredAt = startedAt
    private var holdersCheckedAt = startedAt
    private val openAt = startedAt + settings.takeoverGraceMillis
    private val admission = Admission(settings, replicas, queue, rates, openAt)
    private val dispatcher = Dispatcher(settings.policy.create(settings), replicas, queue, book, epoch)
    private val reports = TicketReports(replicas, book, epoch)

    /** What orders to the engines need to know of the replicas, and their exclusion from placements. */
    val exclusions = PlacementExclusions(replicas, book, knownAt = startedAt + settings.unknownTicketMillis)

    /** Whether requests wait for a placement. */
    val hasWaiting: Boolean get() = !queue.isEmpty

    /** Replicas to list at once, because they may hold requests that are to be cancelled. */
    val replicasToList: Set<String>
        get() = replicas.decode.filter { it.holdsLapsed }.map { it.name }.toSet() + orphans.overdue(expiredAt)

    /** Takes a new configuration: the replicas of the cell and the weight of each workspace relative to the others. */
    fun configure(upstreams: List<Upstream>, weights: Map<String, Double>) {
        this.weights = weights
        replicas.configure(upstreams)
        book.all.forEach(replicas::adopt)
    }

    /**
     * Asks for a placement. Returns the answer if there is one already, or null after queueing the request; the answer
     * then comes from [processDue]. A repeated question keeps its place in the queue or gets the same ticket again.
     */
    fun requestPlacement(request: PlaceRequest, now: Long): PlaceReply? {
        val id = request.ticketId()
        val ticket = book[id]
        return when {
            ticket != null -> ticket.placed.also { book.renew(ticket, now) }
            book.ended(id) != null -> RefusalReason.WITHDRAWN.reply(retryAfterMillis)
            else -> enqueue(id, request, now)
        }
    }

    /** Makes all decisions that are due and returns the answers by ticket id. */
    fun processDue(now: Long): Map<String, PlaceReply> {
        val refusals = if (now - expiredAt < EXPIRE_EVERY_MILLIS) emptyMap() else expire(now)
        val placements = if (now < openAt) emptyMap() else dispatcher.dispatch(now)
        rates.record(placements.keys.toList(), queue, now = now)
        val gone = withdrawn.associateWith { RefusalReason.WITHDRAWN.reply(retryAfterMillis) }
        withdrawn.clear()
        return refusals + gone + placements.entries.associate { it.key.id to it.value.placed }
    }

    /** Takes a holder's report about one ticket. False if the ticket has expired. */
    fun update(update: TicketUpdate, now: Long): Boolean {
        if (update.released && queue.remove(update.ticket) != null) withdrawn += update.ticket
        return reports.update(update, now)
    }

    /** Renews a ticket that this owner should know. */
    fun renew(ticket: String, generatedTokens: Int, now: Long): RenewalResult =
        reports.renew(ticket, generatedTokens, now)

    /** Takes the load report of [replica], or null if it did not answer. */
    fun recordLoad(replica: String, load: EngineLoad?, now: Long) {
        val known = replicas[replica] ?: return
        if (load == null) known.unreachable() else known.recordLoad(load, now)
    }

    /** Takes the list of requests that [replica] holds and returns the orphans to cancel. */
    fun reconcile(replica: String, held: List<HeldRequest>, now: Long): List<Cancellation> {
        val known = replicas[replica] ?: return emptyList()
        if (known is DecodeReplica) {
            known.list(
                held.filter { book[it.ticket] == null && book.ended(it.ticket) != TicketOutcome.RELEASED }
                    .mapTo(HashSet()) { it.id },
            )
        }
        return orphans.orphans(known, held, now)
    }

    /** Records that [replica] confirmed a cancellation. */
    fun recordCancelled(replica: String, id: EngineRequestId) {
        (replicas[replica] as? DecodeReplica)?.dropped(id)
    }

    private fun enqueue(id: String, request: PlaceRequest, now: Long): PlaceReply? {
        queue[id]?.let {
            it.lastRequestedAt = now
            return null
        }
        val limits = admission.limits(request, now)
        admission.refusal(request, limits, now)?.let { return it.reply(retryAfterMillis) }
        queue.add(QueueEntry(request = request, limits = limits, lastRequestedAt = now))
        return null
    }

    private fun expire(now: Long): Map<String, PlaceReply> {
        if (now - expiredAt > PAUSE_MILLIS) {
            // Renewals could not be received during the pause, so every ticket gets its whole time again.
            book.extendAll(now)
            orphans.restart()
        }
        expiredAt = now
        val checksHolders = now - holdersCheckedAt >= HOLDERS_EVERY_MILLIS
        if (checksHolders) holdersCheckedAt = now
        book.expired(now) { checksHolders && dead(it) }.forEach { ticket ->
            book.end(ticket.id, TicketOutcome.EXPIRED, now)
            replicas.free(ticket, lapsed = true)
        }
        book.forget(now)
        withdrawn += queue.removeIf { it.lastRequestedAt + settings.requestTtlMillis < now }.map { it.id }
        queue.moveLate(now)
        return queue.removeIf { it.limits.deadline <= now }
            .associate { it.id to RefusalReason.CAPACITY.reply(retryAfterMillis) }
    }

    private companion object {
        /** A longer gap between decisions means that this process was paused. */
        const val PAUSE_MILLIS = 1_000

        /** Expiry need not be exact; it scans the whole queue. */
        const val EXPIRE_EVERY_MILLIS = 50

        /** A cell may have tickets of a thousand holders, and evidence of a death takes a second anyway. */
        const val HOLDERS_EVERY_MILLIS = 500

        /** A workspace without a rate still gets a small share. */
        const val MIN_WEIGHT = 0.001
    }
}
