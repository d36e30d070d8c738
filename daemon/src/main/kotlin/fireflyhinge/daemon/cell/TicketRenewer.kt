package fireflyhinge.daemon.cell

import fireflyhinge.peer.TicketBatch
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import java.util.concurrent.atomic.AtomicInteger

/** Renews this daemon's tickets with one message per cell and second. Repeats releases until they are acknowledged. */
internal class TicketRenewer(
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

    /** Registers [ticket] for renewal. */
    fun add(ticket: HeldTicket) {
        tickets[ticket.id] = ticket
    }

    /** Sends the release of a ticket or the withdrawal of a request. */
    fun release(ticket: HeldTicket) {
        tickets.remove(ticket.id, ticket)
        ticket.release(clock.millis())
        releases += ticket
        workers.execute { send(addressOf(ticket), listOf(ticket)) }
    }

    /** Sends one renewal message to each cell. */
    fun renewAll() {
        val now = clock.millis()
        releases.removeIf { it.isForgotten(now) }
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

    /** A new configuration may move a replica to another cell, so the cell is derived from the replica each time. */
    private fun addressOf(ticket: HeldTicket): CellAddress {
        val plan = plans.plan(ticket.request.service, ticket.region)
        val cell = ticket.replica?.let(plan::cellOfReplica) ?: plan.cellOfRequest(ticket.request.requestId)
        return CellAddress(region = ticket.region, cell = cell)
    }

    private fun send(address: CellAddress, batch: List<HeldTicket>) {
        val counter = failures.computeIfAbsent(address) { AtomicInteger() }
        var remaining = batch
        repeat(MAX_ATTEMPTS) {
            val unknown = sendOnce(address, remaining, counter.get())
            if (unknown == null) counter.incrementAndGet() else remaining = unknown
            if (remaining.isEmpty()) return
        }
    }

    /** Returns the tickets that must be sent again in full, or null if no owner answered. */
    private fun sendOnce(address: CellAddress, batch: List<HeldTicket>, failures: Int): List<HeldTicket>? {
        val sentAt = clock.millis()
        val updates = batch.associateWith { it.currentUpdate() }
        val (short, full) = updates.entries.partition { it.key.isTokenCountOnly(it.value) }
        val message =
            TicketBatch(
                holder = batch.first().request.holder,
                service = address.cell.service,
                region = address.region,
                cell = address.cell.number,
                updates = full.map { it.value },
                renewals = short.associate { it.key.id to it.value.generatedTokens },
            )
        val reply = router.updateTickets(address, message, failures)?.takeIf { it.acting } ?: return null
        val now = clock.millis()
        updates.forEach { (ticket, update) ->
            when {
                update.released -> releases -= ticket
                ticket.id in reply.lapsed -> ticket.onExpired()
                ticket.id in reply.unknown -> ticket.onUnknown()
                else -> ticket.onAcknowledged(update, sentAt = sentAt, now = now)
            }
        }
        return batch.filter { it.id in reply.unknown }
    }

    private companion object {
        /** One for the owner, one for its successor in case that has taken over, and one to send again in full. */
        const val MAX_ATTEMPTS = 3
    }
}
