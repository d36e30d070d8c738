package fireflyhinge.forward

/**
 * Routes requests for [host] whose path starts with [pathPrefix] to services.
 *
 * @property timeoutMillis deadline for the complete response.
 * @property objectiveMillis latency objective of the response, or of the first event of a stream.
 * @property maxAttempts maximum number of replicas to which one request may be sent.
 * @property isPublic whether requests need no API key.
 * @property resumable whether an interrupted stream may resume at another replica.
 * @property allowedRegions home regions: only replicas there may serve requests of the route; empty means all regions.
 */
data class ForwardRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: CallKind,
    val targets: List<RouteTarget>,
    val timeoutMillis: Long,
    val objectiveMillis: Long,
    val maxAttempts: Int = 1,
    val isPublic: Boolean = false,
    val resumable: Boolean = false,
    val allowedRegions: Set<String> = emptySet(),
) {
    /** Whether a request may be retried after an attempt that may have run. */
    val retryable: Boolean get() = kind == CallKind.IDEMPOTENT || kind == CallKind.STREAM && resumable

    /** Selects a target service by weight for [random] in [0, 1). Null if the total weight is 0. */
    fun target(random: Double): String? {
        var remaining = random * targets.sumOf { it.weight }
        for (target in targets) {
            remaining -= target.weight
            if (remaining < 0) return target.service
        }
        return null
    }
}
