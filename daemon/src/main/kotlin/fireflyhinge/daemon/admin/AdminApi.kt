package fireflyhinge.daemon.admin

import fireflyhinge.config.ConfigKinds
import fireflyhinge.daemon.config.ConfigService
import fireflyhinge.membership.Membership
import fireflyhinge.order.ReplicaOrderStatus
import fireflyhinge.peer.PeerTransport
import fireflyhinge.result.Outcome
import fireflyhinge.store.Store

/**
 * All operations of the admin API.
 *
 * @param setDraining begins or ends draining of this VM.
 * @param orderStatus progress of the replicas in this daemon's cells.
 */
class AdminApi(
    store: Store,
    config: ConfigService,
    membership: Membership,
    peers: PeerTransport,
    setDraining: (Boolean) -> Unit,
    orderStatus: () -> List<ReplicaOrderStatus> = { emptyList() },
) {
    private val held = { config.copy }
    private val writer = ObjectWriter(store) { config.offer(listOf(it)) }

    /** Templates. */
    val templates = ObjectAdmin(ConfigKinds.TEMPLATES, writer, held, TemplateCheck(held)::errors)

    /** Routes. */
    val routes = ObjectAdmin(ConfigKinds.ROUTES, writer, held)

    /** Upstreams. */
    val upstreams = ObjectAdmin(ConfigKinds.UPSTREAMS, writer, held)

    /** Workspaces. */
    val workspaces = WorkspaceAdmin(writer, held)

    /** Keys. */
    val keys = KeyAdmin(writer, held)

    /** VMs. */
    val vms = VmAdmin(membership, peers, writer, setDraining = setDraining)

    /** The fleet. */
    val fleet = FleetAdmin(membership, config, peers)

    /** Desired states of upstreams. */
    val orders = OrderAdmin(upstreams, held, FleetOrders(membership, peers, orderStatus))

    /** Marks upstream [name] as leaving or, if [leaving] is false, puts it back into service. */
    fun drainUpstream(name: String, leaving: Boolean, options: ChangeOptions): Outcome<Change> =
        upstreams.edit(name, options) { it.put("leaving", leaving) }
}
