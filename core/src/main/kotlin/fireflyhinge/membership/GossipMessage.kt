package fireflyhinge.membership

import fireflyhinge.config.ConfigDigest

/**
 * Request and response of `POST /peer/v1/gossip`.
 *
 * @property from heartbeat of the sender.
 * @property members complete entries of VMs that the receiver requested or may not know.
 * @property beats heartbeats of a bounded number of members.
 * @property wanted ids of VMs whose complete entries the sender requests.
 * @property all whether the sender, which has just started, requests the complete entries of all members.
 * @property config digest of the sender's configuration.
 */
data class GossipMessage(
    val from: Heartbeat,
    val members: List<Member> = emptyList(),
    val beats: List<Heartbeat> = emptyList(),
    val wanted: List<String> = emptyList(),
    val all: Boolean = false,
    val config: ConfigDigest = ConfigDigest(),
)
