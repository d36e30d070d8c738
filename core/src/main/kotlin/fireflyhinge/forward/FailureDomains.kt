package fireflyhinge.forward

/** Where this VM and others are. [regions] maps each failure domain to its region. */
class FailureDomains(private val own: String, private val regions: Map<String, String>) {
    /** Region of [domain]; a domain that is not listed counts as a region of its own. */
    fun regionOf(domain: String): String = regions[domain] ?: domain

    /** 0 in the same failure domain, 1 in the same region, 2 elsewhere, as seen from [from]. */
    fun distance(to: String, from: String = own): Int =
        when {
            to == from -> 0
            regionOf(to) == regionOf(from) -> 1
            else -> 2
        }
}
