package fireflyhinge.forward

/**
 * A service as the configuration describes it.
 *
 * @property memoryTokens tokens that the KV memory of one replica holds, or 0 for a plain service.
 * @property switchMillis time from a replica's last work at one stage until it serves another.
 */
data class ForwardService(val name: String, val memoryTokens: Int = 0, val switchMillis: Long = 0)
