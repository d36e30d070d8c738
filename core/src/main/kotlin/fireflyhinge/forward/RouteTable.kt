package fireflyhinge.forward

/** Finds the route of a request by host and longest path prefix. */
class RouteTable(routes: List<ForwardRoute>) {
    private val byHost =
        routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, rules) -> rules.sortedByDescending { it.pathPrefix.length } }

    /** Regions that are allowed for every route of [host] that has home regions; null if none has. */
    fun homeRegions(host: String): Set<String>? =
        homeRegions(byHost[host.substringBefore(':').lowercase()].orEmpty().map { it.allowedRegions })

    /** Returns the route for the request target [uri] at [host], which may include a port; null if none matches. */
    fun find(host: String, uri: String): ForwardRoute? {
        val path = uri.substringBefore('?')
        return byHost[host.substringBefore(':').lowercase()]?.find { path.startsWith(it.pathPrefix) }
    }
}
