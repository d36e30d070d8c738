package fireflyhinge.quota

/**
 * A charge that was debited for one request and may be used now.
 *
 * @property crashes replica crashes that the request's fingerprint took part in before.
 */
data class Charge(
    val chargeId: String,
    val workspace: String,
    val tokens: Double,
    val epoch: Long,
    val owner: String,
    val crashes: Int,
)
