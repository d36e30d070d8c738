package fireflyhinge.forward

import kotlin.random.Random

/** Selects the VMs that callers are told to use. */
class GatewayAddressSelector(
    private val fleet: FleetView,
    private val domains: FailureDomains,
    private val random: Random = Random.Default,
) {
    /**
     * Front addresses for a caller in [failureDomain]: the VMs there if at least [ENOUGH] of them take requests, else
     * those of its region, else all. The set changes only with the state of VMs, because callers give up connections
     * to addresses that are missing from a new answer.
     */
    fun select(failureDomain: String?): List<String> {
        val usable = (fleet.live() + fleet.self).filter { it.ready }
        val near = failureDomain?.let { place -> nearest(usable, place) } ?: usable
        return near.shuffled(random).take(MOST).map { it.front }
    }

    private fun nearest(usable: List<VmRecord>, place: String): List<VmRecord> {
        val local = usable.filter { it.failureDomain == place }
        if (local.size >= ENOUGH) return local
        val regional = usable.filter { domains.distance(it.failureDomain, place) < 2 }
        return if (regional.size >= ENOUGH) regional else usable
    }

    private companion object {
        /** Two VMs, so that callers have another address when one fails. */
        const val ENOUGH = 2

        /** Addresses that callers take from one answer. */
        const val MOST = 64
    }
}
