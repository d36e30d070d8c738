package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation

/**
 * What the system tells a replica besides the caller's own request.
 *
 * @property replicaId the replica that is meant; any other process at the address refuses.
 * @property workspace workspace for which the request runs, or null on a public route.
 * @property remainingMillis time that is left for the request.
 * @property prefill whether only the prompt is read.
 * @property cache KV cache to be fetched before decoding, or null.
 * @property reservation id of the place that the replica keeps for the request, or null.
 * @property lastEvent last event of a stream that the caller has, or null.
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
