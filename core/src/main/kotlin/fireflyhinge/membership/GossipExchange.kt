package fireflyhinge.membership

import fireflyhinge.config.ConfigDigest
import kotlin.math.ceil
import kotlin.math.log2
import kotlin.random.Random

/**
 * Builds and merges gossip messages over a [MemberTable]. In a fleet of up to [MemberTable.FULL_LIMIT] members a
 * message carries all heartbeats; in a larger one it carries a bounded number of changed members, each sent a few
 * times, and a few random ones that repair losses. Not thread-safe.
 */
class GossipExchange(private val table: MemberTable, private val updates: MemberUpdates, private val random: Random) {
    private val remaining = linkedMapOf<String, Int>()
    private val introduced = mutableSetOf<String>()
    private var joined = false

    /** Message that opens an exchange with [peer]. */
    fun opening(peer: String, config: ConfigDigest, now: Long): GossipMessage =
        message(config, now).copy(
            members = if (peer in introduced) emptyList() else listOf(table.self),
            all = !joined,
        )

    /** Merges [message] from a peer and returns the answer. */
    fun answer(message: GossipMessage, config: ConfigDigest, now: Long): GossipMessage {
        val wanted = merge(message, now)
        return message(config, now).copy(members = requested(message, now), wanted = wanted)
    }

    /** Merges the [answer] of [peer]; returns a second message if either side lacks whole entries. */
    fun onAnswer(peer: String, answer: GossipMessage, config: ConfigDigest, now: Long): GossipMessage? {
        val wanted = merge(answer, now)
        joined = true
        introduced += peer
        if (wanted.isEmpty() && answer.wanted.isEmpty()) return null
        return GossipMessage(
            from = table.self.beat(),
            members = requested(answer, now),
            wanted = wanted,
            config = config,
            memberDigest = memberDigest(),
        )
    }

    private fun message(config: ConfigDigest, now: Long) =
        GossipMessage(from = table.self.beat(), beats = beats(now), memberDigest = memberDigest(), config = config)

    private fun merge(message: GossipMessage, now: Long): List<String> {
        message.members.filter { updates.merge(it, now) }.forEach { announce(it.id) }
        val unknown =
            (message.beats + message.from).filter { beat ->
                val result = updates.merge(beat, now)
                if (result == BeatResult.CHANGED) announce(beat.id)
                result == BeatResult.UNKNOWN
            }
        updates.onHeard(message.from.id, now)
        return unknown.map { it.id }.distinct().take(WANTED_LIMIT)
    }

    private fun requested(message: GossipMessage, now: Long): List<Member> {
        val known = table.view(now).filter { it.incarnation != 0L && it.state != MemberState.GONE }
        return if (message.all) known else known.filter { it.id in message.wanted }
    }

    private fun announce(id: String) {
        val size = table.records.size + 1
        remaining[id] = EXTRA_SENDS + ceil(SENDS_PER_ROUND * log2(size + 1.0)).toInt()
    }

    private fun beats(now: Long): List<Beat> {
        val known =
            table.view(now).filter { it.id != table.self.id && it.incarnation != 0L && it.state != MemberState.GONE }
        val chosen = if (known.size < MemberTable.FULL_LIMIT) {
            known
        } else {
            changed(known) + List(RANDOM_LIMIT) {
                known.random(random)
            }
        }
        return chosen.distinctBy { it.id }.map { it.beat() }
    }

    private fun changed(known: List<Member>): List<Member> {
        val byId = known.associateBy { it.id }
        val ids = remaining.entries.sortedByDescending { it.value }.map { it.key }.take(CHANGED_LIMIT)
        ids.forEach { id -> remaining.computeIfPresent(id) { _, left -> (left - 1).takeIf { it > 0 } } }
        return ids.mapNotNull(byId::get)
    }

    private fun memberDigest(): Int =
        table.records.values.sumOf { it.member.run { listOf(id, incarnation, state, isolated).hashCode() } } +
            table.self.run { listOf(id, incarnation, state, isolated).hashCode() }

    private companion object {
        const val CHANGED_LIMIT = 10
        const val RANDOM_LIMIT = 6
        const val WANTED_LIMIT = 32
        const val EXTRA_SENDS = 4

        /** Sends per doubling of the fleet; 3 leave a chance under 1 in 1,000 that a VM misses a change. */
        const val SENDS_PER_ROUND = 3.0
    }
}
