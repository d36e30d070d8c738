package fireflyhinge.peer

import fireflyhinge.config.Priority

/**
 * Asks the owner of a workspace's quota to charge [tokens], an upper bound of the request's cost.
 *
 * @property chargeId unique in the fleet; a charge that is sent twice is debited once.
 * @property fingerprint hash of workspace, model and prompt, used for crash attribution.
 * @property maxWaitMillis maximum time that the request may wait for its tokens.
 */
data class ChargeRequest(
    val chargeId: String,
    val workspace: String,
    val tokens: Double,
    val fingerprint: String,
    val priority: Priority,
    val maxWaitMillis: Long,
)
