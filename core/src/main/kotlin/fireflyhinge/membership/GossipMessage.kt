package fireflyhinge.membership

import fireflyhinge.config.ConfigDigest

/**
 * Message and answer of `POST /peer/v1/gossip`.
 *
 * @property from changing part of the sender's own entry.
 * @property members whole entries of VMs that the receiver asked for or may not know.
 * @property beats changing parts of a bounded number of members.
 * @property wanted ids of VMs of which the sender has no whole entry.
 * @property all true asks for the whole entries of all members; sent by a process that has just started.
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
