package fireflyhinge.config

/**
 * One upstream replica.
 *
 * @property address `host:port` of its HTTP server.
 * @property slots requests that a decode replica runs at once.
 * @property linkMegabytesPerSecond rate of the replica's KV transfer link.
 * @property checksFence whether the replica refuses orders with an old fencing number.
 * @property leaving true once the replica must get no new work.
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
    override val changeId: String = "",
    override val deleted: Boolean = false,
) : ConfigObject
