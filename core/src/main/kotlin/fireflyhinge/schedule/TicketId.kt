package fireflyhinge.schedule

import fireflyhinge.peer.PlaceRequest

/** Ticket of this attempt. It follows from the ids, so that a repeated question gets the same ticket. */
fun PlaceRequest.ticketId(): String = "$requestId/$attempt"
