package fireflyhinge.quota

/** A charge that was debited for one request and may be used now. */
data class Charge(
    val chargeId: String,
    val workspace: String,
    val tokens: Double,
    val epoch: Long,
    val owner: String,
    val suspect: Boolean,
)
