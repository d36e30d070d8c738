package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FleetView
import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.VmRecord

/** Updates this VM's own record and applies the records of others. [ready] returns whether this VM takes requests. */
internal class FleetUpdates(
    val fleet: FleetView,
    private val table: ReplicaTable,
    private val ready: () -> Boolean,
) {
    /** Updates this VM's own record and its heartbeat. */
    fun heartbeat() = fleet.heartbeat(ready(), table.tokens())

    /** Applies the [records] of other VMs, including the tokens that they hold at replicas. */
    fun merge(records: Collection<VmRecord>) {
        fleet.merge(records)
        table.setRemoteTokens(fleet.remoteTokens())
    }
}
