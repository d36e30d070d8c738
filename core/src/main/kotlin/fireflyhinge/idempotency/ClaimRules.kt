package fireflyhinge.idempotency

/** The rules that keep a non-idempotent call from running twice. */
object ClaimRules {
    /** What the attempt [own] with the request hash [digest] does about the claim [found]. */
    fun decide(found: Claim, own: String, digest: String): ClaimStep {
        val answer = found.answer
        return when {
            // A claim under which nothing was sent binds nobody, whatever request it was for.
            found.state == ClaimState.NOT_RUN && found.attempt != own -> ClaimStep.TakeOver
            found.digest != digest -> ClaimStep.Mismatch
            found.state == ClaimState.DONE && answer != null -> ClaimStep.Replay(answer)
            found.attempt == own && found.state == ClaimState.CLAIMED -> ClaimStep.Send
            else -> ClaimStep.Wait
        }
    }
}
