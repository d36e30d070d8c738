package fireflyhinge.membership

import kotlin.random.Random

/** Chooses the peers of one gossip round. */
object PeerChoice {
    private const val STALE_MILLIS = 1_500L
    private const val REFUSING_LIMIT = 2

    /**
     * Two peers, one of them after a failed attempt or without news for 1.5 s if there is any, so that a silent
     * member is tried again soon, and up to
     * two whose connections were refused, so that proof of their end is complete after 2 s.
     */
    fun choose(table: MemberTable, now: Long, random: Random): Set<String> {
        val gone = table.view(now).filter { it.state == MemberState.GONE }.map { it.id }.toSet()
        val candidates = table.records.values.filter { it.member.id !in gone && it.member.controlAddress.isNotEmpty() }
        val stale = candidates.filter { now - it.newsAt > STALE_MILLIS || it.member.incarnation == 0L }
        val failed = candidates.filter { it.failures in 1 until MemberRecord.FAILURES_NEEDED }
        val first = listOf(failed, stale, candidates).find { it.isNotEmpty() }?.random(random)
        val second = candidates.filter { it !== first }.randomOrNull(random)
        val refusing = table.evidence.refusing().filter { it !in gone }.shuffled(random).take(REFUSING_LIMIT)
        return (listOfNotNull(first, second).map { it.member.id } + refusing).toSet()
    }
}
