package fireflyhinge.forward

/**
 * A service as the configuration describes it.
 *
 * @property maxConnections connections that one replica accepts from all VMs together.
 * @property memoryTokens tokens that the KV memory of one replica holds, or 0 for a plain service.
 */
data class ForwardService(val name: String, val maxConnections: Int, val memoryTokens: Int = 0)
