package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaLoad

/**
 * What the head of a replica's answer says.
 *
 * @property requestId id of the request that is answered, or null.
 * @property stamped whether the answer bears the mark by which replicas sign what they ran.
 * @property notRun whether the replica states that it did not run the request.
 * @property otherReplica whether another replica than the one that was meant answered.
 * @property load load that the replica reports, or null.
 */
data class ReplicaResponseMetadata(
    val requestId: String?,
    val stamped: Boolean,
    val notRun: Boolean,
    val otherReplica: Boolean,
    val load: ReplicaLoad?,
)
