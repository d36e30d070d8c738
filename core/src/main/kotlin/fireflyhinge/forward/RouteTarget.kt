package fireflyhinge.forward

/** A service that receives a share of a route's requests in proportion to [weight]. */
data class RouteTarget(val service: String, val weight: Int = 1)
