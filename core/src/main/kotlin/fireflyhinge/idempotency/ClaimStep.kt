package fireflyhinge.idempotency

/** What a daemon does about the claim that it found. */
sealed interface ClaimStep {
    /** The claim is its own: the call may be sent once. */
    data object Send : ClaimStep

    /** The call was answered before. */
    data class Replay(val answer: StoredAnswer) : ClaimStep

    /** Nothing was sent under the claim, so it may be replaced by a conditional update. */
    data object TakeOver : ClaimStep

    /** Another attempt may be running. */
    data object Wait : ClaimStep

    /** The key was used with another request. */
    data object Mismatch : ClaimStep
}
