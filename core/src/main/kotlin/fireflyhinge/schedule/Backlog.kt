package fireflyhinge.schedule

/**
 * Waiting work of one workspace in one class.
 *
 * @property tokensPerMilli rate at which it is expected to be served; 0 while that is unknown.
 */
internal data class Backlog(val tokens: Double, val tokensPerMilli: Double) {
    /** Expected time until it is served, 0 while that is unknown. */
    val millis: Double get() = if (tokensPerMilli > 0) tokens / tokensPerMilli else 0.0
}
