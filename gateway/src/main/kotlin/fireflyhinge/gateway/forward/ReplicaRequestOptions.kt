package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation

/**
 * Fields that the gateway adds to a caller's request to a replica.
 *
 * @property replicaId id of the intended replica; any other process at the address refuses the request.
 * @property workspace workspace on whose behalf the request runs, or null on a public route.
 * @property remainingMillis milliseconds until the request's deadline.
 * @property prefill whether the replica only prefills the prompt.
 * @property cache KV cache to fetch before decoding, or null.
 * @property reservation id of the slot reserved for the request, or null.
 * @property lastEvent id of the last stream event that the caller received, or null.
 */
data class ReplicaRequestOptions(
    val replicaId: String,
    val workspace: String?,
    val remainingMillis: Long,
    val prefill: Boolean = false,
    val cache: KvCacheLocation? = null,
    val reservation: String? = null,
    val lastEvent: Long? = null,
)
