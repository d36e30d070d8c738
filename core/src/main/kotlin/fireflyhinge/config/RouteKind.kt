package fireflyhinge.config

/** What a route leads to. */
enum class RouteKind {
    /** A model served by a prefill pool and a decode pool. */
    MODEL,

    /** A plain service. */
    SERVICE,
}
