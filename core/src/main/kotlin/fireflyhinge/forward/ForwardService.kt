package fireflyhinge.forward

/**
 * Configuration of a service.
 *
 * @property kvCapacityTokens KV cache capacity of one replica in tokens, or 0 for a plain service.
 * @property coldStartMillis milliseconds for which a replica is cold that starts under traffic.
 * @property coldPerSecond requests per second that a cold replica tolerates, or 0 if there is no bound.
 */
data class ForwardService(
    val name: String,
    val kvCapacityTokens: Int = 0,
    val coldStartMillis: Long = 0,
    val coldPerSecond: Double = 0.0,
)
