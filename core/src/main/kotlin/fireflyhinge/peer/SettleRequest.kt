package fireflyhinge.peer

/** Returns the unused part of a charge, [unusedTokens], to the bucket that was debited. */
data class SettleRequest(
    val chargeId: String,
    val workspace: String,
    val epoch: Long,
    val unusedTokens: Double,
)
