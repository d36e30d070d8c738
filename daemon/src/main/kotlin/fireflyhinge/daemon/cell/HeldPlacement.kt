package fireflyhinge.daemon.cell

import fireflyhinge.peer.PlaceReply

/** A placement and its ticket. */
internal data class HeldPlacement(val ticket: HeldTicket, val placed: PlaceReply.Placed)
