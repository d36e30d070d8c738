package fireflyhinge.forward

/**
 * Configuration of a service.
 *
 * @property kvCapacityTokens KV cache capacity of one replica in tokens, or 0 for a plain service.
 */
data class ForwardService(val name: String, val kvCapacityTokens: Int = 0)
