package fireflyhinge.daemon.cell

import fireflyhinge.peer.TicketBatch
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import java.util.concurrent.atomic.AtomicInteger

/** Renews this daemon's tickets, one message a cell a second, and sends releases until they are acknowledged. */
internal class TicketKeeper(
    private val router: OwnerRouter,
    private val plans: CellPlans,
    private val clock: MonotonicClock,
    private val workers: ExecutorService,
) {
    private val tickets = ConcurrentHashMap<String, HeldTicket>()
    private val releases = ConcurrentHashMap.newKeySet<HeldTicket>()
    private val failures = ConcurrentHashMap<CellAddress, AtomicInteger>()
    private val sending = ConcurrentHashMap.newKeySet<CellAddress>()

    /** The ticket with this id, or null. */
    operator fun get(id: String): HeldTicket? = tickets[id]

    /** Starts to renew [ticket]. */
    fun add(ticket: HeldTicket) {
        tickets[ticket.id] = ticket
    }

    /** Sends a release, or the withdrawal of a request. */
    fun release(ticket: HeldTicket) {
        tickets.remove(ticket.id, ticket)
        ticket.release(clock.millis())
        releases += ticket
        workers.execute { send(addressOf(ticket), listOf(ticket)) }
    }

    /** Sends one renewal for each cell. */
    fun renewAll() {
        val now = clock.millis()
        releases.removeIf { it.isOver(now) }
        val open = tickets.values.filter { it.isValid(now) } + releases
        open.groupBy(::addressOf).filterKeys(sending::add).forEach { (address, batch) ->
            workers.execute {
                try {
                    send(address, batch)
                } finally {
                    sending -= address
                }
            }
        }
    }

    /** Replicas may change cells when the configuration changes, so the cell follows from the replica each time. */
    private fun addressOf(ticket: HeldTicket): CellAddress {
        val plan = plans.plan(ticket.request.service, ticket.region)
        val cell = ticket.replica?.let(plan::cellOfReplica) ?: plan.cellOfRequest(ticket.request.requestId)
        return CellAddress(region = ticket.region, cell = cell)
    }

    private fun send(address: CellAddress, batch: List<HeldTicket>) {
        val counter = failures.computeIfAbsent(address) { AtomicInteger() }
        var left = batch
        repeat(TRIES) {
            val unknown = sendOnce(address, left, counter.get())
            if (unknown == null) counter.incrementAndGet() else left = unknown
            if (left.isEmpty()) return
        }
    }

    /** Returns the tickets to send again in full, or null if no owner answered. */
    private fun sendOnce(address: CellAddress, batch: List<HeldTicket>, failures: Int): List<HeldTicket>? {
        val sentAt = clock.millis()
        val reports = batch.associateWith { it.report() }
        val (brief, full) = reports.entries.partition { it.key.isBrief(it.value) }
        val message =
            TicketBatch(
                holder = batch.first().request.holder,
                service = address.cell.service,
                region = address.region,
                cell = address.cell.number,
                updates = full.map { it.value },
                renewals = brief.associate { it.key.id to it.value.generatedTokens },
            )
        val reply = router.tickets(address, message, failures)?.takeIf { it.acting } ?: return null
        val now = clock.millis()
        reports.forEach { (ticket, report) ->
            when {
                report.released -> releases -= ticket
                ticket.id in reply.lapsed -> ticket.lapsed()
                ticket.id in reply.unknown -> ticket.unknown()
                else -> ticket.acknowledged(report, sentAt = sentAt, now = now)
            }
        }
        return batch.filter { it.id in reply.unknown }
    }

    private companion object {
        /** The owner, its successor in case it has taken over, and a repetition in full. */
        const val TRIES = 3
    }
}
