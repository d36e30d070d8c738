package fireflyhinge.forward

/**
 * A service as the configuration describes it.
 *
 * @property memoryTokens tokens that the KV memory of one replica holds, or 0 for a plain service.
 */
data class ForwardService(val name: String, val memoryTokens: Int = 0)
