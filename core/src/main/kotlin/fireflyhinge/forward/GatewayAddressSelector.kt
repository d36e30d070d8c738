package fireflyhinge.forward

import kotlin.random.Random

/** Selects the VM addresses returned by an address look-up. */
class GatewayAddressSelector(
    private val fleet: FleetView,
    private val domains: FailureDomains,
    private val random: Random = Random.Default,
) {
    /**
     * Returns front addresses for a caller in [failureDomain]: the VMs there if at least [MIN_ADDRESSES] of them are
     * ready, else those of its region, else all. The set depends only on the state of VMs, because callers close
     * connections to addresses that are missing from a new response.
     */
    fun select(failureDomain: String?): List<String> {
        val usable = (fleet.live() + fleet.self).filter { it.ready }
        val near = failureDomain?.let { domain -> nearest(usable, domain) } ?: usable
        return near.shuffled(random).take(MAX_ADDRESSES).map { it.front }
    }

    private fun nearest(usable: List<VmRecord>, domain: String): List<VmRecord> {
        val local = usable.filter { it.failureDomain == domain }
        if (local.size >= MIN_ADDRESSES) return local
        val regional = usable.filter { domains.distance(it.failureDomain, domain) < 2 }
        return if (regional.size >= MIN_ADDRESSES) regional else usable
    }

    private companion object {
        /** At least two, so that callers have another address when one fails. */
        const val MIN_ADDRESSES = 2

        /** Number of addresses that callers accept from one response. */
        const val MAX_ADDRESSES = 64
    }
}
