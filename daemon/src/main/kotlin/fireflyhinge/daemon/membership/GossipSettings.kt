package fireflyhinge.daemon.membership

import fireflyhinge.membership.Member

/**
 * Settings of [GossipService].
 *
 * @property self this VM's entry as it starts; the incarnation is the start time of the process.
 * @property seeds `host:port` control addresses to join through while the VM list is not available. They are handed to
 *   the peer transport in place of a VM id.
 * @property roundMillis time between two rounds.
 * @property timeoutMillis time after which a peer counts as silent.
 */
data class GossipSettings(
    val self: Member,
    val seeds: List<String> = emptyList(),
    val roundMillis: Long = 1_000,
    val timeoutMillis: Long = 1_000,
)
