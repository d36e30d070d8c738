package fireflyhinge.forward

/**
 * A rule that leads requests of [host] whose path begins with [pathPrefix] to services.
 *
 * @property timeoutMillis longest time that a request is kept waiting for its whole answer.
 * @property objectiveMillis time within which an answer has its full value; the first event of a stream.
 * @property maxAttempts replicas to which one request may be sent.
 * @property isPublic whether requests need no key.
 * @property resumable whether a broken stream may go on at another replica.
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
) {
    /** Whether a request may run again after a run that may have begun. */
    val retryable: Boolean get() = kind == CallKind.IDEMPOTENT || kind == CallKind.STREAM && resumable

    /** The service for a request that draws [random], from 0 until 1. Null if no target has a weight. */
    fun target(random: Double): String? {
        var left = random * targets.sumOf { it.weight }
        for (target in targets) {
            left -= target.weight
            if (left < 0) return target.service
        }
        return null
    }
}
