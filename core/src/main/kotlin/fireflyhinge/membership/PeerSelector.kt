package fireflyhinge.membership

import kotlin.random.Random

/** Selects the peers of one gossip round. */
object PeerSelector {
    private const val STALE_MILLIS = 1_500L
    private const val REFUSING_LIMIT = 2

    /**
     * Selects two peers and one VM whose process has ended. The first peer is, if there is any, one with a failed
     * attempt or without a sign of life for 1.5 s, so that it is tried again soon. The ended VM is tried because a VM
     * that restarts without the store may know no address, and then joins only if a peer contacts it.
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

    /**
     * Selects up to two peers that refused a connection. Attempts several times a second prove within about 1 s that a
     * process has ended.
     */
    fun refusing(table: MemberTable, now: Long, random: Random): Set<String> {
        val refusing = table.evidence.refusing().ifEmpty { return emptySet() }
        return (refusing - gone(table, now)).shuffled(random).take(REFUSING_LIMIT).toSet()
    }

    private fun gone(table: MemberTable, now: Long) =
        table.view(now).filter { it.state == MemberState.GONE }.map { it.id }.toSet()
}
