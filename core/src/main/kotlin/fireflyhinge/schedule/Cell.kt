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
 * Scheduler of one cell under one epoch. It queues requests, assigns slots and detects orphaned requests at engines.
 * It starts with no state, as after a takeover. Not thread-safe; times are the owner's monotonic milliseconds.
 *
 * @param isDead whether there is evidence that a holder's process no longer runs; its tickets are ended at once.
 */
class Cell(
    private val epoch: Long,
    startedAt: Long,
    private val settings: SchedulerSettings = SchedulerSettings(),
    private val isDead: (Holder) -> Boolean = { false },
) {
    private var weights: Map<String, Double> = emptyMap()
    private val replicas = CellReplicas(settings)
    private val queue = FairQueue(settings.classWeights) { maxOf(weights[it] ?: 1.0, MIN_WEIGHT) }
    private val tickets = TicketTable(settings)
    private val orphans = OrphanDetector(settings, tickets, isDead)
    private val rates = ServiceRates()
    private val retryAfterMillis = settings.firstTokenMillis
    private val withdrawn = mutableListOf<String>()
    private var lastExpiryAt = startedAt
    private var holdersCheckedAt = startedAt
    private val openAt = startedAt + settings.takeoverGraceMillis
    private val admission = Admission(settings, replicas, queue, rates, openAt)
    private val dispatcher = Dispatcher(settings.policy.create(settings), replicas, queue, tickets, epoch)
    private val reports = TicketReports(replicas, tickets, epoch)

    /** Replica state that orders to the engines depend on, and the exclusion of replicas from placements. */
    val exclusions = PlacementExclusions(replicas, tickets, knownAt = startedAt + settings.unknownTicketMillis)

    /** Whether any request waits for a placement. */
    val hasWaiting: Boolean get() = !queue.isEmpty

    /** Replicas whose requests should be listed at once, because some of them may have to be cancelled. */
    val replicasToList: Set<String>
        get() =
            replicas.decode.filter { it.mayHoldExpired }.map { it.name }.toSet() +
                orphans.replicasWithOrphans(lastExpiryAt)

    /** Applies a new configuration: the replicas of the cell and the relative weight of each workspace. */
    fun configure(upstreams: List<Upstream>, weights: Map<String, Double>) {
        this.weights = weights
        replicas.configure(upstreams)
        tickets.all.forEach(replicas::adopt)
    }

    /**
     * Requests a placement. Returns the reply if it is known already, or null if the request is queued; [processDue]
     * then returns the reply. A repeated request keeps its position in the queue or gets the same ticket again.
     */
    fun requestPlacement(request: PlaceRequest, now: Long): PlaceReply? {
        val id = request.ticketId()
        val ticket = tickets[id]
        return when {
            ticket != null -> ticket.placed.also { tickets.renew(ticket, now) }
            tickets.outcomeOf(id) != null -> RefusalReason.WITHDRAWN.reply(retryAfterMillis)
            else -> enqueue(id, request, now)
        }
    }

    /** Expires tickets and queued requests, places what can be placed, and returns the replies by ticket id. */
    fun processDue(now: Long): Map<String, PlaceReply> {
        val refusals = if (now - lastExpiryAt < EXPIRY_INTERVAL_MILLIS) emptyMap() else expire(now)
        val placements = if (now < openAt) emptyMap() else dispatcher.dispatch(now)
        rates.record(placements.keys.toList(), queue, now = now)
        val withdrawals = withdrawn.associateWith { RefusalReason.WITHDRAWN.reply(retryAfterMillis) }
        withdrawn.clear()
        return refusals + withdrawals + placements.entries.associate { it.key.id to it.value.placed }
    }

    /** Applies a holder's report about one ticket. Returns false if the ticket has expired. */
    fun update(update: TicketUpdate, now: Long): Boolean {
        if (update.released && queue.remove(update.ticket) != null) withdrawn += update.ticket
        return reports.update(update, now)
    }

    /** Renews a ticket without its full state; [generatedTokens] counts the tokens generated so far. */
    fun renew(ticket: String, generatedTokens: Int, now: Long): RenewalResult =
        reports.renew(ticket, generatedTokens, now)

    /** Records the load report of [replica]; [load] is null if the replica did not answer. */
    fun recordLoad(replica: String, load: EngineLoad?, now: Long) {
        val known = replicas[replica] ?: return
        if (load == null) known.recordUnreachable() else known.recordLoad(load, now)
    }

    /** Compares the requests that [replica] holds with the tickets and returns the orphans to cancel. */
    fun reconcile(replica: String, held: List<HeldRequest>, now: Long): List<Cancellation> {
        val known = replicas[replica] ?: return emptyList()
        if (known is DecodeReplica) {
            known.setUntracked(
                held.filter { tickets[it.ticket] == null && tickets.outcomeOf(it.ticket) != TicketOutcome.RELEASED }
                    .mapTo(HashSet()) { it.id },
            )
        }
        return orphans.findOrphans(known, held, now)
    }

    /** Records that [replica] confirmed a cancellation. */
    fun recordCancelled(replica: String, id: EngineRequestId) {
        (replicas[replica] as? DecodeReplica)?.recordDropped(id)
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
        if (now - lastExpiryAt > PAUSE_THRESHOLD_MILLIS) {
            // Renewals could not be received during the pause, so every ticket gets its full TTL again.
            tickets.extendAll(now)
            orphans.restart()
        }
        lastExpiryAt = now
        val checksHolders = now - holdersCheckedAt >= HOLDER_CHECK_INTERVAL_MILLIS
        if (checksHolders) holdersCheckedAt = now
        tickets.expired(now) { checksHolders && isDead(it) }.forEach { ticket ->
            tickets.end(ticket.id, TicketOutcome.EXPIRED, now)
            replicas.free(ticket, expired = true)
        }
        tickets.purgeEnded(now)
        withdrawn += queue.removeIf { it.lastRequestedAt + settings.requestTtlMillis < now }.map { it.id }
        queue.moveLateRequests(now)
        return queue.removeIf { it.limits.deadline <= now }
            .associate { it.id to RefusalReason.CAPACITY.reply(retryAfterMillis) }
    }

    private companion object {
        /** A longer gap between two expiry runs means that this process was paused. */
        const val PAUSE_THRESHOLD_MILLIS = 1_000

        /** Expiry scans the whole queue and need not be exact. */
        const val EXPIRY_INTERVAL_MILLIS = 50

        /** A cell may have tickets of a thousand holders, and evidence of a dead holder takes a second to arrive. */
        const val HOLDER_CHECK_INTERVAL_MILLIS = 500

        /** Lower bound that gives a workspace without a rate a small share. */
        const val MIN_WEIGHT = 0.001
    }
}
