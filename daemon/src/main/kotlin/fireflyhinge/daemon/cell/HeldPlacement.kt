package fireflyhinge.daemon.cell

import fireflyhinge.peer.PlaceReply

/** A placement and the ticket that its holder renews. */
internal data class HeldPlacement(val ticket: HeldTicket, val placed: PlaceReply.Placed)
