package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.VmRecord

/** Selects the VM that checks the store for others: one of a small fleet, one of each region of a large one. */
internal class CheckerSelector(private val fleet: FleetView, private val domains: FailureDomains) {
    /** The VM that checks the store; null if it is this one. */
    fun other(): VmRecord? = before().firstOrNull()

    /** The VMs of this region whose copies this VM watches instead of the store; none if it is to watch the store. */
    fun watched(): List<VmRecord> = if (isLarge()) before().take(MAX_WATCHED) else emptyList()

    /** Whether this VM checks the store. */
    fun isSelf(): Boolean = other() == null

    /** The VMs that come before this one in the order in which they check. */
    private fun before(): List<VmRecord> {
        val large = isLarge()
        return fleet.ordered(ORDER) { !large || domains.distance(it.failureDomain) < 2 }
            .takeWhile { it.name != fleet.self.name }
    }

    private fun isLarge() = fleet.exchangeIntervalFactor > 1

    private companion object {
        const val ORDER = "store"

        /** A second one, so that the others need not read the store when the first fails. */
        const val MAX_WATCHED = 2
    }
}
