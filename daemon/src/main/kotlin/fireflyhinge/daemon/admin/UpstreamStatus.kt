package fireflyhinge.daemon.admin

import fireflyhinge.order.ReplicaOrderStatus

/**
 * Desired state of an upstream, and how far it has come.
 *
 * @property version version of the object that this VM holds.
 * @property desired as this VM holds it; the owner of the cell may hold another version for a few seconds.
 * @property progress what the owner of its cell reports, or null if no owner answers.
 */
data class UpstreamStatus(
    val name: String,
    val version: Long,
    val desired: ReplicaOrderStatus.State,
    val progress: ReplicaOrderStatus?,
)
