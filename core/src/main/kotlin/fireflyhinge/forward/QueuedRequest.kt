package fireflyhinge.forward

/**
 * A model request that waits for capacity. Times are those of the queue's clock.
 *
 * @property weight share of its workspace in the capacity, relative to other workspaces.
 * @property cost the part of a replica that it occupies, in slots; a request with much KV cache occupies several.
 * @property targetMillis when it must get capacity to meet its latency target.
 * @property expiresMillis when it is refused.
 * @property avoid replicas that must not be offered to it.
 */
data class QueuedRequest(
    val id: String,
    val workspace: String,
    val weight: Double,
    val cost: Double,
    val arrivedMillis: Long,
    val targetMillis: Long,
    val expiresMillis: Long,
    val avoid: Set<String> = emptySet(),
) {
    /** Whether the request can no longer meet its target at [now]. */
    fun isLate(now: Long): Boolean = now > targetMillis

    /**
     * Lower is more urgent. All requests have the same value, so the value per KV token is the inverse of the cost. The
     * time left makes a large request precede small ones before it is late.
     */
    fun urgency(now: Long): Double = cost * ((if (isLate(now)) expiresMillis else targetMillis) - now)
}
