package fireflyhinge.schedule

/**
 * Queued work of one workspace in one queue class.
 *
 * @property tokensPerMilli expected service rate; 0 while unknown.
 */
internal data class Backlog(val tokens: Double, val tokensPerMilli: Double) {
    /** Expected time until the backlog is served; 0 while the rate is unknown. */
    val millis: Double get() = if (tokensPerMilli > 0) tokens / tokensPerMilli else 0.0
}
