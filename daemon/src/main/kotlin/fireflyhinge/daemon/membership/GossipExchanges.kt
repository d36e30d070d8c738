package fireflyhinge.daemon.membership

import fireflyhinge.config.ConfigDigestSource
import fireflyhinge.membership.GossipMessage
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport

/** Sends and answers gossip messages. */
internal class GossipExchanges(
    private val timeoutMillis: Long,
    private val state: MembershipState,
    private val peers: PeerTransport,
    private val config: () -> ConfigDigestSource,
) {
    /** Answers `POST /peer/v1/gossip`. */
    fun onMessage(message: GossipMessage): GossipMessage {
        compareDigest(message)
        return state.answer(message, config().digest())
    }

    /** Exchanges news with [peer], a VM id or a seed address. */
    fun exchange(peer: String) {
        var next: GossipMessage? = state.opening(peer, config().digest())
        repeat(MAX_MESSAGES) {
            next = next?.let { send(peer, it) }
        }
    }

    private fun send(peer: String, message: GossipMessage): GossipMessage? {
        val result = peers.post(peer, PATH, message, GossipMessage::class.java, timeoutMillis)
        if (result !is PeerResult.Ok) {
            val refused = result is PeerResult.ConnectionRefused
            state.update { updates, now -> updates.onFailed(peer, refused, now) }
            return null
        }
        compareDigest(result.value)
        return state.onAnswer(peer, result.value, config().digest())
    }

    private fun compareDigest(message: GossipMessage) {
        val source = config()
        if (message.config != source.digest()) source.onMismatch(message.from.id)
    }

    companion object {
        /** Path of the gossip messages. */
        const val PATH = "/peer/v1/gossip"

        /** An opening and one message with the entries that either side lacked. */
        private const val MAX_MESSAGES = 2
    }
}
