package fireflyhinge.schedule

import fireflyhinge.peer.TicketBatch
import fireflyhinge.peer.TicketReply

/** Applies all updates and renewals of [batch]. */
fun Cell.update(batch: TicketBatch, now: Long): TicketReply {
    val refused = batch.updates.filterNot { update(it, now) }.map { it.ticket }
    val renewed = batch.renewals.entries.groupBy({ renew(it.key, it.value, now) }, { it.key })
    return TicketReply(
        acting = true,
        lapsed = (refused + renewed[RenewalResult.EXPIRED].orEmpty()).toSet(),
        unknown = renewed[RenewalResult.UNKNOWN].orEmpty().toSet(),
    )
}
