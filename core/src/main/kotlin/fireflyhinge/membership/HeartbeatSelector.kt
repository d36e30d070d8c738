package fireflyhinge.membership

import kotlin.math.ceil
import kotlin.math.log2
import kotlin.random.Random

/**
 * Selects the members whose heartbeats a gossip message carries. In a fleet of up to [MemberTable.FULL_LIMIT] members
 * it selects all. In a larger one it selects a bounded number of changed members, each for a few messages, and a few
 * random members to compensate for lost messages. Not thread-safe.
 */
internal class HeartbeatSelector(private val table: MemberTable, private val random: Random) {
    private val remainingSends = linkedMapOf<String, Int>()
    private var unresponsive = emptySet<String>()

    /** Schedules the heartbeat of the changed member [id] for a bounded number of messages. */
    fun announce(id: String) {
        val size = table.records.size + 1
        remainingSends.remove(id)
        remainingSends[id] = EXTRA_SENDS + ceil(SENDS_PER_ROUND * log2(size + 1.0)).toInt()
    }

    /** Returns the heartbeats for one message. */
    fun choose(now: Long): List<Heartbeat> {
        val known =
            table.records.values.filter {
                it.member.incarnation != 0L && !table.provenDead(it.member.id, it.member.incarnation)
            }
        announceUnresponsive(known.filter { it.unresponsive(now) }.map { it.member.id }.toSet())
        val chosen =
            if (known.size < MemberTable.FULL_LIMIT) {
                known
            } else {
                changed(known).let { it + List(randomCount(known.size, it.size)) { known.random(random) } }
            }
        return chosen.map { it.toHeartbeat(now) }.distinctBy { it.id }
    }

    private fun announceUnresponsive(ids: Set<String>) {
        (ids - unresponsive).forEach(::announce)
        unresponsive = ids
    }

    /** In a fleet of medium size random members fill up the message, which keeps the age of all heartbeats low. */
    private fun randomCount(size: Int, changed: Int): Int =
        if (size <= MEDIUM_SIZE) MemberTable.FULL_LIMIT - changed else RANDOM_LIMIT

    private fun changed(known: List<MemberRecord>): List<MemberRecord> {
        val byId = known.associateBy { it.member.id }
        val ids = remainingSends.entries.reversed().sortedByDescending { it.value }.map { it.key }.take(CHANGED_LIMIT)
        ids.forEach { id -> remainingSends.computeIfPresent(id) { _, left -> (left - 1).takeIf { it > 0 } } }
        return ids.mapNotNull(byId::get)
    }

    private companion object {
        const val CHANGED_LIMIT = 24
        const val RANDOM_LIMIT = 8
        const val MEDIUM_SIZE = 128
        const val EXTRA_SENDS = 2

        /**
         * Sends per doubling of the fleet size. More would crowd out other changes; losses are compensated by random
         * members.
         */
        const val SENDS_PER_ROUND = 1.0
    }
}
