package fireflyhinge.forward

/** Location of this VM among the failure domains. [regions] maps each failure domain to its region. */
class FailureDomains(private val own: String, private val regions: Map<String, String>) {
    /** Returns the region of [domain]; an unlisted domain is its own region. */
    fun regionOf(domain: String): String = regions[domain] ?: domain

    /** Returns 0 within a failure domain, 1 within a region and 2 across regions. */
    fun distance(to: String, from: String = own): Int =
        when {
            to == from -> 0
            regionOf(to) == regionOf(from) -> 1
            else -> 2
        }
}
