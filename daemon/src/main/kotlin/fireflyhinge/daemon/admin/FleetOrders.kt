package fireflyhinge.daemon.admin

import fireflyhinge.daemon.cell.DaemonThreadFactory
import fireflyhinge.daemon.order.OrderStatusAnswer
import fireflyhinge.daemon.order.OrderStatusRequest
import fireflyhinge.membership.Member
import fireflyhinge.membership.MemberState
import fireflyhinge.membership.Membership
import fireflyhinge.order.ReplicaOrderStatus
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/**
 * Collects the progress of replicas from the owners of their cells.
 *
 * @param own progress in this daemon's cells.
 */
internal class FleetOrders(
    private val membership: Membership,
    private val peers: PeerTransport,
    private val own: () -> List<ReplicaOrderStatus>,
) {
    private val workers = Executors.newFixedThreadPool(PARALLEL, DaemonThreadFactory("order-status"))

    /** Progress by upstream, of [upstream] only if it is given. VMs that do not answer are left out. */
    fun statuses(upstream: String?): Map<String, ReplicaOrderStatus> {
        val asked = membership.members().filter { it.state != MemberState.GONE }
        val answers = workers.invokeAll(asked.map { Callable { ask(it, upstream) } }).flatMap { it.get() }
        return answers.associateBy { it.upstream }
    }

    private fun ask(member: Member, upstream: String?): List<ReplicaOrderStatus> {
        if (member.id == membership.self().id) return own()
        val type = OrderStatusAnswer::class.java
        val result = peers.post(member.id, OrderStatusRequest.PATH, OrderStatusRequest(upstream), type, TIMEOUT_MILLIS)
        return (result as? PeerResult.Ok)?.value?.replicas.orEmpty()
    }

    private companion object {
        const val PARALLEL = 16
        const val TIMEOUT_MILLIS = 1_000L
    }
}
