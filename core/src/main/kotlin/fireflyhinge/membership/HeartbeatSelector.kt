package fireflyhinge.membership

import kotlin.math.ceil
import kotlin.math.log2
import kotlin.random.Random

/**
 * Chooses the members that a message tells about. In a fleet of up to [MemberTable.FULL_LIMIT] members these are all;
 * in a larger one they are a bounded number of changed members, each sent a few times, and a few random ones that
 * repair losses. Not thread-safe.
 */
internal class HeartbeatSelector(private val table: MemberTable, private val random: Random) {
    private val remaining = linkedMapOf<String, Int>()
    private var silent = emptySet<String>()

    /** [id] changed; the change is sent a bounded number of times. */
    fun announce(id: String) {
        val size = table.records.size + 1
        remaining.remove(id)
        remaining[id] = EXTRA_SENDS + ceil(SENDS_PER_ROUND * log2(size + 1.0)).toInt()
    }

    /** Beats for one message. */
    fun choose(now: Long): List<Heartbeat> {
        val known =
            table.records.values.filter {
                it.member.incarnation != 0L && !table.provenDead(it.member.id, it.member.incarnation)
            }
        announceSilent(known.filter { it.unresponsive(now) }.map { it.member.id }.toSet())
        val chosen =
            if (known.size < MemberTable.FULL_LIMIT) {
                known
            } else {
                changed(known).let { it + List(randomCount(known.size, it.size)) { known.random(random) } }
            }
        return chosen.map { it.toHeartbeat(now) }.distinctBy { it.id }
    }

    private fun announceSilent(ids: Set<String>) {
        (ids - silent).forEach(::announce)
        silent = ids
    }

    /** In a fleet of medium size free places carry news of random members, which keeps the age of all news low. */
    private fun randomCount(size: Int, changed: Int): Int =
        if (size <= MEDIUM_SIZE) MemberTable.FULL_LIMIT - changed else RANDOM_LIMIT

    private fun changed(known: List<MemberRecord>): List<MemberRecord> {
        val byId = known.associateBy { it.member.id }
        val ids = remaining.entries.reversed().sortedByDescending { it.value }.map { it.key }.take(CHANGED_LIMIT)
        ids.forEach { id -> remaining.computeIfPresent(id) { _, left -> (left - 1).takeIf { it > 0 } } }
        return ids.mapNotNull(byId::get)
    }

    private companion object {
        const val CHANGED_LIMIT = 24
        const val RANDOM_LIMIT = 8
        const val MEDIUM_SIZE = 128
        const val EXTRA_SENDS = 2

        /** Sends per doubling of the fleet. More would crowd out other changes; random members repair what is lost. */
        const val SENDS_PER_ROUND = 1.0
    }
}
