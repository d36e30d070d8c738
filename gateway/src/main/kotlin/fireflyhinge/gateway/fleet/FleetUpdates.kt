package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FleetView
import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.VmRecord

/** What this VM tells of itself and learns of others. [ready] says whether it takes requests. */
internal class FleetUpdates(
    val fleet: FleetView,
    private val table: ReplicaTable,
    private val ready: () -> Boolean,
) {
    /** Renews this VM's own record. */
    fun beat() = fleet.heartbeat(ready(), table.tokens())

    /** Takes over [records] of other VMs, and what these have at replicas. */
    fun merge(records: Collection<VmRecord>) {
        fleet.merge(records)
        table.setRemoteTokens(fleet.remoteTokens())
    }
}
