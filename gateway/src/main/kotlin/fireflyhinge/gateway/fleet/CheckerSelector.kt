package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.VmRecord

/** Selects the VM that checks the store for others: one of a small fleet, one of each region of a large one. */
internal class CheckerSelector(private val fleet: FleetView, private val domains: FailureDomains) {
    /** The VM that checks the store; null if it is this one. */
    fun other(): VmRecord? {
        val large = isLarge()
        val checker = fleet.ordered(ORDER) { !large || domains.distance(it.failureDomain) < 2 }.first()
        return checker.takeIf { it.name != fleet.self.name }
    }

    /** The VM of this region whose copies this VM watches instead of the store; null if it is to watch the store. */
    fun watched(): VmRecord? = if (isLarge()) other() else null

    /** Whether this VM checks the store. */
    fun isSelf(): Boolean = other() == null

    private fun isLarge() = fleet.exchangeIntervalFactor > 1

    private companion object {
        const val ORDER = "store"
    }
}
