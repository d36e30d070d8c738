package fireflyhinge.membership

import kotlin.random.Random

/** Chooses the peers of one gossip round. */
object PeerSelector {
    private const val STALE_MILLIS = 1_500L
    private const val REFUSING_LIMIT = 2

    /**
     * Two peers, one of them after a failed attempt or without news for 1.5 s if there is any, so that a silent
     * member is tried again soon, and one VM whose process has ended. Without the store a restarted VM may know no
     * address, and then joins only if a peer tries it.
     */
    fun choose(table: MemberTable, now: Long, random: Random): Set<String> {
        val gone = gone(table, now)
        val candidates = table.records.values.filter { it.member.id !in gone && it.member.controlAddress.isNotEmpty() }
        val stale = candidates.filter { now - it.heardAt > STALE_MILLIS || it.member.incarnation == 0L }
        val failed = candidates.filter { it.failures in 1 until MemberRecord.FAILURES_NEEDED }
        val first = listOf(failed, stale, candidates).find { it.isNotEmpty() }?.random(random)
        val second = candidates.filter { it !== first }.randomOrNull(random)
        val ended = gone.filterNot(table.evidence::unlisted).randomOrNull(random)
        return (listOfNotNull(first, second).map { it.member.id } + listOfNotNull(ended)).toSet()
    }

    /** Up to two peers that refused a connection. Tried several times a second, they give proof of their end in 1 s. */
    fun refusing(table: MemberTable, now: Long, random: Random): Set<String> {
        val refusing = table.evidence.refusing().ifEmpty { return emptySet() }
        return (refusing - gone(table, now)).shuffled(random).take(REFUSING_LIMIT).toSet()
    }

    private fun gone(table: MemberTable, now: Long) =
        table.view(now).filter { it.state == MemberState.GONE }.map { it.id }.toSet()
}
