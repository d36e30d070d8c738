package fireflyhinge.schedule

import fireflyhinge.config.ConfigSnapshot
import fireflyhinge.config.Upstream
import fireflyhinge.config.UpstreamRole

/** Divides the model replicas of a service in one region into cells of about [CELL_SIZE] replicas. */
class CellPlan(snapshot: ConfigSnapshot, private val service: String, region: String) {
    private val replicas: List<Upstream> =
        snapshot.upstreams.values
            .filter { it.service == service && it.region == region && it.role != UpstreamRole.SERVICE }
            .sortedBy { it.name }

    /** Number of cells; 0 if the region has no replica of the service. */
    val cellCount: Int = (replicas.size + CELL_SIZE - 1) / CELL_SIZE

    /** Whether the region has at least one prefill and one decode replica that is not leaving. */
    val canServe: Boolean =
        listOf(UpstreamRole.PREFILL, UpstreamRole.DECODE).all { role ->
            replicas.any { it.role == role && !it.leaving }
        }

    /** All cells. */
    fun keys(): List<CellKey> = (0 until cellCount).map { CellKey(service = service, number = it) }

    /** Cell that schedules [replica]. */
    fun cellOfReplica(replica: String): CellKey = cellOf(replica)

    /** Cell that places the request with this id. All daemons with the same configuration choose the same cell. */
    fun cellOfRequest(requestId: String): CellKey = cellOf(requestId)

    /** Replicas of [cell], sorted by name. */
    fun replicasOf(cell: CellKey): List<Upstream> = replicas.filter { cellOf(it.name) == cell }

    private fun cellOf(name: String) = CellKey(service, Math.floorMod(name.hashCode(), maxOf(cellCount, 1)))

    companion object {
        /** Target number of replicas in a cell. */
        const val CELL_SIZE = 64
    }
}
