package fireflyhinge.membership

import fireflyhinge.config.ConfigDigest
import kotlin.random.Random

/**
 * Builds and merges gossip messages over a [MemberTable]. Not thread-safe.
 */
class GossipExchange(private val table: MemberTable, private val updates: MemberUpdates, random: Random) {
    private val selector = HeartbeatSelector(table, random)
    private val introduced = mutableSetOf<String>()
    private var joined = false

    /** The message that opens an exchange with [peer]. */
    fun opening(peer: String, config: ConfigDigest, now: Long): GossipMessage =
        message(config, now).copy(
            members = if (peer in introduced) emptyList() else listOf(table.outgoing(table.self, now)),
            all = !joined,
        )

    /** Merges [message] from a peer and returns the reply. */
    fun reply(message: GossipMessage, config: ConfigDigest, now: Long): GossipMessage {
        val wanted = merge(message, now)
        return message(config, now).copy(members = requested(message, now), wanted = wanted)
    }

    /** Merges the [reply] of [peer]. Returns a second message if either side lacks complete entries, or else null. */
    fun onReply(peer: String, reply: GossipMessage, config: ConfigDigest, now: Long): GossipMessage? {
        val wanted = merge(reply, now)
        joined = true
        introduced += peer
        if (wanted.isEmpty() && reply.wanted.isEmpty()) return null
        return GossipMessage(
            from = table.self.toHeartbeat(),
            members = requested(reply, now),
            wanted = wanted,
            config = config,
        )
    }

    private fun message(config: ConfigDigest, now: Long) =
        GossipMessage(
            from = table.self.toHeartbeat(),
            beats = selector.choose(now),
            config = config
        )

    private fun merge(message: GossipMessage, now: Long): List<String> {
        message.members.filter { updates.merge(it, now) }.forEach { selector.announce(it.id) }
        val unknown =
            (message.beats + message.from).filter { heartbeat ->
                val result = updates.merge(heartbeat, now)
                if (result == HeartbeatResult.CHANGED) selector.announce(heartbeat.id)
                result == HeartbeatResult.UNKNOWN
            }
        updates.onHeard(message.from.id, now)
        return unknown.map { it.id }.distinct().take(WANTED_LIMIT)
    }

    private fun requested(message: GossipMessage, now: Long): List<Member> {
        val known = table.view(now).filter { it.incarnation != 0L && it.state != MemberState.GONE }
        val members = if (message.all) known else known.filter { it.id in message.wanted }
        return members.map { table.outgoing(it, now) }
    }

    private companion object {
        const val WANTED_LIMIT = 32
    }
}
