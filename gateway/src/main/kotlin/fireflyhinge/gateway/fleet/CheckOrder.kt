package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.StoreObjectKind

/** Selects the VM that checks the store for others: one of a small fleet, one of each failure domain of a large one. */
internal class CheckOrder(private val fleet: FleetView, private val domains: FailureDomains) {
    /** Whether this VM is the one that checks the objects of [kind]. */
    fun isFirst(kind: StoreObjectKind): Boolean {
        val large = fleet.exchangeIntervalFactor > 1
        return fleet.rank(kind.name) { !large || domains.distance(it.failureDomain) == 0 } == 0
    }
}
