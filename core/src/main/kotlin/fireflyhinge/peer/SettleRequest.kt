package fireflyhinge.peer

/** Returns the unused part of a charge, [unusedTokens], to the bucket it was taken from. */
data class SettleRequest(
    val chargeId: String,
    val workspace: String,
    val epoch: Long,
    val unusedTokens: Double,
)
