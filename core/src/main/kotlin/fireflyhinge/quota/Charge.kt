package fireflyhinge.quota

/**
 * A charge that was debited for one request and can be used now.
 *
 * @property crashes earlier replica crashes in which the request's fingerprint took part.
 */
data class Charge(
    val chargeId: String,
    val workspace: String,
    val tokens: Double,
    val epoch: Long,
    val owner: String,
    val crashes: Int,
)
