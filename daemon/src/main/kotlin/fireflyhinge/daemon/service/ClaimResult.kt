package fireflyhinge.daemon.service

import fireflyhinge.idempotency.StoredResponse
import fireflyhinge.result.Outcome

/** What an attempt to claim a call led to. */
internal sealed interface ClaimResult {
    /** The claim is this attempt's own, as [version] of its object; the call may be sent once. */
    data class Own(val version: Long) : ClaimResult

    /** The call was answered before. */
    data class Replay(val answer: StoredResponse) : ClaimResult

    /** The call must not be sent. [uncertain] tells that the claim may be in the store although it is not used. */
    data class Refused(val failure: Outcome.Failure, val uncertain: Boolean = false) : ClaimResult
}
