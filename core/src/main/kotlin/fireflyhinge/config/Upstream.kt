package fireflyhinge.config

/**
 * One upstream replica. Its desired state is [role], [models], [adapters] and [modelVersion]; the owner of its cell
 * sends orders to the engine to reach it. Null leaves that part of the engine unchanged.
 *
 * @property address `host:port` of its HTTP server.
 * @property slots requests that a decode replica runs at once.
 * @property linkMegabytesPerSecond rate of the replica's KV transfer link.
 * @property checksFence whether the replica rejects orders with an old fencing token.
 * @property models models that the engine must have loaded, and no others.
 * @property adapters adapters that the engine must have loaded, and no others.
 * @property modelVersion version of the weights that the engine must serve.
 * @property leaving true if the replica must get no new work.
 */
data class Upstream(
    override val name: String,
    val service: String,
    val role: UpstreamRole,
    val address: String,
    val region: String,
    val failureDomain: String,
    val slots: Int = 20,
    val linkMegabytesPerSecond: Double = 1000.0,
    val checksFence: Boolean = true,
    val leaving: Boolean = false,
    val models: List<String>? = null,
    val adapters: List<String>? = null,
    val modelVersion: String? = null,
    override val changeId: String = "",
    override val deleted: Boolean = false,
) : ConfigObject
