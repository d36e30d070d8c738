package fireflyhinge.idempotency

/** How a daemon proceeds with a claim that it found. */
sealed interface ClaimAction {
    /** The claim belongs to this attempt: the call may be sent once. */
    data object Send : ClaimAction

    /** The call already has a response, which is replayed. */
    data class Replay(val answer: StoredResponse) : ClaimAction

    /** Nothing was sent under the claim; it may be replaced by a conditional update. */
    data object TakeOver : ClaimAction

    /** Another attempt may be running. */
    data object Wait : ClaimAction

    /** The key was used with another request. */
    data object Mismatch : ClaimAction
}
