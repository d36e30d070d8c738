package fireflyhinge.peer

import fireflyhinge.engine.Holder

/** All open tickets of one holder in one cell, sent once a second, and releases, sent at once. */
data class TicketBatch(val holder: Holder, val service: String, val region: String, val updates: List<TicketUpdate>)
