package fireflyhinge.peer

import fireflyhinge.engine.Holder

/**
 * All open tickets of one holder in cell [cell] of [service], sent once a second; releases are sent immediately.
 *
 * @property updates tickets that the owner may not know or that changed their state.
 * @property renewals the other tickets, each with the number of tokens streamed so far.
 */
data class TicketBatch(
    val holder: Holder,
    val service: String,
    val region: String,
    val cell: Int,
    val updates: List<TicketUpdate> = emptyList(),
    val renewals: Map<String, Int> = emptyMap(),
)
