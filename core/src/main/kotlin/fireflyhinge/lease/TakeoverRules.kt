package fireflyhinge.lease

/** Decides when a process may take a shard from its owner. */
internal class TakeoverRules(private val state: LeaseState, private val view: RegionView) {
    private val self = state.self
    private val times = state.times
    private val successors = state.successors

    /**
     * Whether the successor may write itself as owner: its promise has expired, or was ended by evidence of the owner's
     * death, and no other process has a right.
     */
    fun byTime(shard: Int, entry: ShardEntry, now: Long): Boolean {
        val promise = successors.of(shard)
        return entry.successor == self && promise.knownEpoch == entry.epoch && now > promise.until &&
            (successors.hasHistory(shard) || formerExcluded(shard, entry))
    }

    /** Whether the successor may act at once, without the store. */
    fun byEvidence(shard: Int, entry: ShardEntry, now: Long): Boolean =
        view.dead(entry.owner) && byTime(shard, entry, now) && successors.evidenceInTime(shard) &&
            !otherMayHaveActed(shard, entry)

    /**
     * The entry after this process took [shard] through the store. A replaced successor may have acted on evidence
     * before it gave up its right or died, and may have used tokens that the owner's floors for this process promise.
     */
    fun taken(shard: Int, entry: ShardEntry, successor: ProcessId?): ShardEntry =
        entry.withOwner(next = self, successor = successor, otherActed = otherMayHaveActed(shard, entry))

    private fun otherMayHaveActed(shard: Int, entry: ShardEntry) =
        !successors.hasHistory(shard) && entry.former.any { it != self && it != entry.owner }

    /** Whether every process named in [entry] is dead, so that any other may write itself as owner. */
    fun orphaned(shard: Int, entry: ShardEntry): Boolean =
        view.dead(entry.owner) && entry.successor?.let(view::dead) != false && formerExcluded(shard, entry)

    /** Time that this process leaves to better claimants of an orphaned shard; null if it must not claim. */
    fun claimDelay(shard: Int): Long? {
        val ranked = view.candidates.sortedBy { ShardHash.hash("$shard ${it.process.vm}") }.map { it.process }
        val rank = ranked.indexOf(self)
        return if (rank < 0) null else times.successorWaitNanos + rank * times.renewalNanos
    }

    /**
     * Replaced successors to ask at [now] before this process may take [shard]. An owner that may not know yet that the
     * shard was handed to it is asked only once its time to learn that is over.
     */
    fun formerToAsk(shard: Int, entry: ShardEntry, now: Long): List<ProcessId> =
        formerWithRights(shard, entry).filter { it != entry.owner || now > successors.of(shard).until }

    private fun formerWithRights(shard: Int, entry: ShardEntry): List<ProcessId> =
        entry.former.filterNot {
            it == self || view.dead(it) || state.peers.released(shard, entry.epoch, it) ||
                (it == entry.owner && successors.wasAsked(shard, entry))
        }

    private fun formerExcluded(shard: Int, entry: ShardEntry) = formerWithRights(shard, entry).isEmpty()
}
