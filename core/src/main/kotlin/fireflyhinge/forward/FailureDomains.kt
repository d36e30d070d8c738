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

    /** Returns the round-trip time to [to] on an idle path, in milliseconds. A new connection takes one more. */
    fun roundTripMillis(to: String): Long = if (distance(to) < 2) REGION_ROUND_TRIP_MILLIS else ROUND_TRIP_MILLIS

    private companion object {
        /** Within a region, failure domains are up to 1.4 ms apart. */
        const val REGION_ROUND_TRIP_MILLIS = 3L

        /** Regions are 30 ms apart. */
        const val ROUND_TRIP_MILLIS = 60L
    }
}
