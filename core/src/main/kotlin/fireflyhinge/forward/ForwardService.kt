package fireflyhinge.forward

/**
 * A service as the configuration describes it.
 *
 * @property kvCapacityTokens tokens that the KV memory of one replica holds, or 0 for a plain service.
 */
data class ForwardService(val name: String, val kvCapacityTokens: Int = 0)
