package fireflyhinge.peer

import fireflyhinge.config.Priority
import fireflyhinge.engine.Holder

/**
 * Asks the owner of a cell for a decode slot and a prefill replica.
 *
 * @property prefixHashes hashes of the prompt's prefixes at each multiple of 1,000 tokens, specific to the workspace.
 * @property maxWaitMillis maximum wait in the queue; the request is refused as not run if the limit cannot be met.
 * @property firstTokenMillis time left until the first token is due, negative if it is overdue; null for a request
 * without a first-token target.
 * @property crashes replica crashes that the request was involved in: those known at the charge and those observed
 * since.
 * @property avoid replicas that failed in earlier attempts of this request.
 */
data class PlaceRequest(
    val requestId: String,
    val attempt: Int,
    val holder: Holder,
    val service: String,
    val workspace: String,
    val failureDomain: String,
    val priority: Priority,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val prefixHashes: List<String>,
    val maxWaitMillis: Long,
    val fingerprint: String,
    val firstTokenMillis: Long? = null,
    val crashes: Int = 0,
    val avoid: Set<String> = emptySet(),
)
