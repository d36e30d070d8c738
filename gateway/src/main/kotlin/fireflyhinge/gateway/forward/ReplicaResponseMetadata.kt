package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaLoad

/**
 * Metadata in the head of a replica's response.
 *
 * @property requestId id of the request to which the replica responds, or null.
 * @property stamped whether the response carries the stamp that replicas put on requests that they ran.
 * @property notRun whether the replica states that it did not run the request.
 * @property otherReplica whether a different replica than the intended one responded.
 * @property load load that the replica reports, or null.
 * @property leaving whether the replica announces that it leaves.
 * @property backoffMillis milliseconds for which a replica that refused a request wants no further ones, or null.
 * @property coldMillis milliseconds for which the replica says that it stays cold, or null.
 */
data class ReplicaResponseMetadata(
    val requestId: String?,
    val stamped: Boolean,
    val notRun: Boolean,
    val otherReplica: Boolean,
    val load: ReplicaLoad?,
    val leaving: Boolean = false,
    val backoffMillis: Long? = null,
    val coldMillis: Long? = null,
)
