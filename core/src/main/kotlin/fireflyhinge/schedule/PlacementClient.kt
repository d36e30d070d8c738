package fireflyhinge.schedule

import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.result.Outcome

/** Requests placements from the owner of a cell, local or remote, and renews the tickets. */
interface PlacementClient {
    /**
     * Blocks until the request is placed or refused. Polls [abandoned] at least every 100 ms and withdraws the request
     * once the caller has disconnected. The ticket of a placement is renewed until [release].
     */
    fun place(request: PlaceRequest, abandoned: () -> Boolean): Outcome<PlaceReply.Placed>

    /** Records the progress of a ticket, to be sent with the next renewal; does not block. */
    fun progress(ticket: String, generatedTokens: Int, prefillDone: Boolean, cachedTokens: Int?)

    /** Whether the ticket was renewed recently enough to be used. */
    fun isValid(ticket: String): Boolean

    /** Releases the ticket at once; does not wait for the reply. */
    fun release(ticket: String)
}
