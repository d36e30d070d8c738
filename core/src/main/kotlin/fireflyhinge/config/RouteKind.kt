package fireflyhinge.config

/** Kind of a route. */
enum class RouteKind {
    /** A model served by a prefill pool and a decode pool. */
    MODEL,

    /** A plain service. */
    SERVICE,
}
