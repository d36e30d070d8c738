package fireflyhinge.daemon.config

/**
 * Settings of [ConfigService].
 *
 * @property seeds `host:port` control addresses to read the configuration from while the store is down and no peer is
 *   known.
 * @property watchMillis how long one watch call may wait. A reply that does not come within [progressMillis] after
 *   that is given up and the call is repeated on a new connection.
 * @property pollMillis time between checks whether this VM holds a watch, and between attempts after a failure.
 * @property peerTimeoutMillis limit of one message to a peer.
 */
data class ConfigSettings(
    val seeds: List<String> = emptyList(),
    val watchMillis: Long = 2_000,
    val progressMillis: Long = 3_000,
    val pollMillis: Long = 1_000,
    val peerTimeoutMillis: Long = 3_000,
)
