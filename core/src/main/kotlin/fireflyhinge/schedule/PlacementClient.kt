package fireflyhinge.schedule

import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.result.Outcome

/** Places requests at the owner of their cell, wherever it runs, and keeps their tickets renewed. */
interface PlacementClient {
    /**
     * Blocks until the request is placed or refused. Polls [abandoned] at least every 100 ms and withdraws the
     * request when the
     * caller has left. A placed ticket is renewed until [release].
     */
    fun place(request: PlaceRequest, abandoned: () -> Boolean): Outcome<PlaceReply.Placed>

    /** Records progress of a ticket, sent with the next renewal; does not block. */
    fun progress(ticket: String, generatedTokens: Int, prefillDone: Boolean, cachedTokens: Int?)

    /** Whether the ticket was renewed recently enough to be used. */
    fun isValid(ticket: String): Boolean

    /** Gives the ticket back at once; does not block for the answer. */
    fun release(ticket: String)
}
