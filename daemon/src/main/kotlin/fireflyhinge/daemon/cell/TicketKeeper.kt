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
        workers.execute { send(ticket.address, listOf(ticket)) }
    }

    /** Sends one renewal for each cell. */
    fun renewAll() {
        val now = clock.millis()
        releases.removeIf { it.isOver(now) }
        val open = tickets.values.filter { it.isValid(now) } + releases
        open.groupBy { it.address }.forEach { (address, batch) ->
            if (sending.add(address)) {
                workers.execute {
                    try {
                        send(address, batch)
                    } finally {
                        sending -= address
                    }
                }
            }
        }
    }

    private fun send(address: CellAddress, batch: List<HeldTicket>) {
        val counter = failures.computeIfAbsent(address) { AtomicInteger() }
        repeat(TRIES) {
            if (sendOnce(address, batch, counter.get())) return
            counter.incrementAndGet()
        }
    }

    private fun sendOnce(address: CellAddress, batch: List<HeldTicket>, failures: Int): Boolean {
        val sentAt = clock.millis()
        val message =
            TicketBatch(
                holder = batch.first().request.holder,
                service = address.cell.service,
                region = address.region,
                updates = batch.map { it.report() },
            )
        val reply = router.tickets(address, message, failures)?.takeIf { it.acting } ?: return false
        val now = clock.millis()
        batch.zip(message.updates).forEach { (ticket, update) ->
            if (update.released) {
                releases -= ticket
            } else {
                ticket.acknowledged(sentAt = sentAt, now = now, lapsed = ticket.id in reply.lapsed)
            }
        }
        return true
    }

    private companion object {
        /** The owner, and its successor in case it has taken over. */
        const val TRIES = 2
    }
}
