package fireflyhinge.lease

/** Decides when a process may take over a shard from its owner. */
internal class TakeoverRules(private val state: LeaseState, private val view: RegionView) {
    private val self = state.self
    private val times = state.times
    private val successors = state.successors

    /**
     * Whether this process, as the successor, may write itself to the store as the owner: its promise has expired or
     * was ended by evidence of the owner's death, and no other process has a right to act.
     */
    fun mayTakeThroughStore(shard: Int, entry: ShardEntry, now: Long): Boolean {
        val promise = successors.of(shard)
        return entry.successor == self && promise.knownEpoch == entry.epoch && now > promise.until &&
            (successors.hasHistory(shard) || formerExcluded(shard, entry))
    }

    /** Whether this process, as the successor, may act at once on death evidence, without the store. */
    fun mayTakeOnEvidence(shard: Int, entry: ShardEntry, now: Long): Boolean =
        view.dead(entry.owner) &&
            mayTakeThroughStore(shard, entry, now) &&
            successors.diedWithinEvidenceWindow(shard) &&
            !otherMayHaveActed(shard, entry)

    /**
     * The entry after this process took over [shard] through the store. A replaced successor may have acted on evidence
     * before it gave up its right or died. It may then have used tokens that the floors sent by the owner to this
     * process still count as available.
     */
    fun entryAfterTakeover(shard: Int, entry: ShardEntry, successor: ProcessId?): ShardEntry =
        entry.withOwner(next = self, successor = successor, otherActed = otherMayHaveActed(shard, entry))

    private fun otherMayHaveActed(shard: Int, entry: ShardEntry) =
        !successors.hasHistory(shard) && entry.former.any { it != self && it != entry.owner }

    /** Whether every process named in [entry] is dead, so that any other process may write itself as the owner. */
    fun orphaned(shard: Int, entry: ShardEntry): Boolean =
        view.dead(entry.owner) && entry.successor?.let(view::dead) != false && formerExcluded(shard, entry)

    /**
     * Time in nanoseconds for which this process waits for better-ranked candidates to claim an orphaned shard, or null
     * if it must not claim the shard.
     */
    fun claimDelay(shard: Int): Long? {
        val ranked = view.candidates.sortedBy { ShardHash.hash("$shard ${it.process.vm}") }.map { it.process }
        val rank = ranked.indexOf(self)
        return if (rank < 0) null else times.successorWaitNanos + rank * times.renewalNanos
    }

    /**
     * Replaced successors that must release [shard] before this process may take it over. An owner that may not yet
     * know that the shard was handed over to it is included only after its time to learn of that is over.
     */
    fun releasesNeeded(shard: Int, entry: ShardEntry, now: Long): List<ProcessId> =
        formerWithRights(shard, entry).filter { it != entry.owner || now > successors.of(shard).until }

    private fun formerWithRights(shard: Int, entry: ShardEntry): List<ProcessId> =
        entry.former.filterNot {
            it == self || view.dead(it) || state.peers.released(shard, entry.epoch, it) ||
                (it == entry.owner && successors.wasRequested(shard, entry))
        }

    private fun formerExcluded(shard: Int, entry: ShardEntry) = formerWithRights(shard, entry).isEmpty()
}
