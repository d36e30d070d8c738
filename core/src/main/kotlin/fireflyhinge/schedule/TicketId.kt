package fireflyhinge.schedule

import fireflyhinge.peer.PlaceRequest

/** Ticket id of this attempt. It is derived from the request id, so that a repeated request gets the same ticket. */
fun PlaceRequest.ticketId(): String = "$requestId/$attempt"
