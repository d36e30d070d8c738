package fireflyhinge.forward

import kotlin.random.Random

/** Selects the VM addresses returned by an address look-up. */
class GatewayAddressSelector(
    private val fleet: FleetView,
    private val domains: FailureDomains,
    private val random: Random = Random.Default,
) {
    /**
     * Returns front addresses for a caller in [failureDomain] and [region]: the VMs there if at least [MIN_ADDRESSES]
     * of them are ready, else those of its region, else all. If the routes of its host have [homeRegions], the last
     * step adds only the VMs in these, and all others only if none is ready in the caller's region or in these. The
     * set depends only on the state of VMs, because callers close connections to addresses that are missing from a new
     * response.
     */
    fun select(
        failureDomain: String?,
        region: String? = null,
        homeRegions: Set<String>? = null,
    ): List<String> {
        val usable = (fleet.live() + fleet.self).filter { it.ready }
        val near =
            if (homeRegions == null) {
                failureDomain?.let { domain -> nearest(usable, domain) } ?: usable
            } else {
                nearestOrHome(usable, failureDomain, region ?: failureDomain?.let(domains::regionOf), homeRegions)
            }
        return near.shuffled(random).take(MAX_ADDRESSES).map { it.front }
    }

    private fun nearest(usable: List<VmRecord>, domain: String): List<VmRecord> {
        val local = usable.filter { it.failureDomain == domain }
        if (local.size >= MIN_ADDRESSES) return local
        val regional = usable.filter { domains.distance(it.failureDomain, domain) < 2 }
        return if (regional.size >= MIN_ADDRESSES) regional else usable
    }

    private fun nearestOrHome(
        usable: List<VmRecord>,
        domain: String?,
        region: String?,
        homeRegions: Set<String>,
    ): List<VmRecord> {
        val local = usable.filter { it.failureDomain == domain }
        if (local.size >= MIN_ADDRESSES) return local
        val regional = usable.filter { domains.regionOf(it.failureDomain) == region }
        if (regional.size >= MIN_ADDRESSES) return regional
        val home = usable.filter { domains.regionOf(it.failureDomain) in homeRegions }
        return (regional + home).distinct().ifEmpty { usable }
    }

    private companion object {
        /** At least two, so that callers have another address when one fails. */
        const val MIN_ADDRESSES = 2

        /** Number of addresses that callers accept from one response. */
        const val MAX_ADDRESSES = 64
    }
}
