package fireflyhinge.schedule

import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.TicketUpdate

/** Applies the holders' reports: renewal, progress, release, and adoption of tickets that another owner issued. */
internal class TicketReports(
    private val replicas: CellReplicas,
    private val book: TicketTable,
    private val epoch: Long,
) {
    /** Applies one report. False if the ticket has expired, so that its holder must stop. */
    fun update(update: TicketUpdate, now: Long): Boolean {
        if (update.released) return release(update, now)
        if (book.ended(update.ticket) != null) return false
        val ticket = book[update.ticket] ?: adopt(update, now)
        book.renew(ticket, now)
        progress(ticket, update, now)
        return true
    }

    /** Renews a known ticket. */
    fun renew(id: String, generated: Int, now: Long): RenewalResult {
        if (book.ended(id) != null) return RenewalResult.EXPIRED
        val ticket = book[id] ?: return RenewalResult.UNKNOWN
        book.renew(ticket, now)
        generated(ticket, generated, now)
        return RenewalResult.RENEWED
    }

    private fun release(update: TicketUpdate, now: Long): Boolean {
        book.end(update.ticket, TicketOutcome.RELEASED, now)?.let { replicas.free(it, lapsed = false) }
        return true
    }

    private fun progress(ticket: Ticket, update: TicketUpdate, now: Long) {
        if (update.prefillDone && !ticket.prefillDone) {
            ticket.prefillEnded(now)
            (replicas[ticket.placed.prefillReplica] as? PrefillReplica)
                ?.finished(ticket, update.cachedTokens, update.prefillMillis)
        }
        generated(ticket, update.generatedTokens, now)
    }

    private fun generated(ticket: Ticket, tokens: Int, now: Long) {
        val decode = replicas[ticket.placed.decodeReplica] as? DecodeReplica
        ticket.progress(tokens, now)?.let { decode?.step?.add(it) }
    }

    private fun adopt(update: TicketUpdate, now: Long): Ticket {
        val placed =
            PlaceReply.Placed(
                ticket = update.ticket,
                epoch = epoch,
                prefillReplica = update.prefillReplica,
                prefillAddress = replicas[update.prefillReplica]?.upstream?.address.orEmpty(),
                decodeReplica = update.decodeReplica,
                decodeAddress = replicas[update.decodeReplica]?.upstream?.address.orEmpty(),
            )
        val ticket = Ticket(request = update.request, placed = placed, importAt = now)
        if (update.prefillDone) ticket.prefillEnded(now)
        replicas.adopt(ticket)
        return ticket
    }
}
