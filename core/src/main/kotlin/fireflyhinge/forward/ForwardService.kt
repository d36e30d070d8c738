package fireflyhinge.forward

/**
 * A service as the configuration describes it.
 *
 * @property maxConnections connections that one replica accepts from all VMs together.
 */
data class ForwardService(val name: String, val maxConnections: Int)
