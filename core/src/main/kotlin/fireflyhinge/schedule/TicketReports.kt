package fireflyhinge.schedule

import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.TicketUpdate

/** Applies holders' reports: renewal, progress and release. Adopts tickets that a previous owner issued. */
internal class TicketReports(
    private val replicas: CellReplicas,
    private val tickets: TicketTable,
    private val epoch: Long,
) {
    /** Applies one report. Returns false if the ticket has expired and its holder must stop. */
    fun update(update: TicketUpdate, now: Long): Boolean {
        if (update.released) return release(update, now)
        if (tickets.outcomeOf(update.ticket) != null) return false
        val ticket = tickets[update.ticket] ?: adopt(update, now)
        tickets.renew(ticket, now)
        recordProgress(ticket, update, now)
        return true
    }

    /** Renews the ticket with this id if it is live. */
    fun renew(id: String, generatedTokens: Int, now: Long): RenewalResult {
        if (tickets.outcomeOf(id) != null) return RenewalResult.EXPIRED
        val ticket = tickets[id] ?: return RenewalResult.UNKNOWN
        tickets.renew(ticket, now)
        recordTokens(ticket, generatedTokens, now)
        return RenewalResult.RENEWED
    }

    private fun release(update: TicketUpdate, now: Long): Boolean {
        tickets.end(update.ticket, TicketOutcome.RELEASED, now)?.let { replicas.free(it, expired = false) }
        return true
    }

    private fun recordProgress(ticket: Ticket, update: TicketUpdate, now: Long) {
        if (update.prefillDone && !ticket.prefillDone) {
            ticket.markPrefillDone(now)
            (replicas[ticket.placed.prefillReplica] as? PrefillReplica)
                ?.recordPrefill(ticket, update.cachedTokens, update.prefillMillis)
        }
        recordTokens(ticket, update.generatedTokens, now)
    }

    private fun recordTokens(ticket: Ticket, tokens: Int, now: Long) {
        val decode = replicas[ticket.placed.decodeReplica] as? DecodeReplica
        ticket.recordProgress(tokens, now)?.let { decode?.stepMillis?.add(it) }
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
        val ticket = Ticket(request = update.request, placed = placed, decodeStartAt = now)
        if (update.prefillDone) ticket.markPrefillDone(now)
        replicas.adopt(ticket)
        return ticket
    }
}
