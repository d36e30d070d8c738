package fireflyhinge.idempotency

/** Rules that prevent a non-idempotent call from running twice. */
object ClaimRules {
    /** Decides how the attempt [ownAttempt] with the request hash [digest] proceeds with the claim [found]. */
    fun decide(found: Claim, ownAttempt: String, digest: String): ClaimAction {
        val answer = found.answer
        return when {
            // Nothing was sent under the claim, so it can be replaced even if it is for another request.
            found.state == ClaimState.NOT_RUN && found.attempt != ownAttempt -> ClaimAction.TakeOver
            found.digest != digest -> ClaimAction.Mismatch
            found.state == ClaimState.DONE && answer != null -> ClaimAction.Replay(answer)
            found.attempt == ownAttempt && found.state == ClaimState.CLAIMED -> ClaimAction.Send
            else -> ClaimAction.Wait
        }
    }
}
