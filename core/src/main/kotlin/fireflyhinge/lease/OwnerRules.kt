package fireflyhinge.lease

/** Changes that the owner of a shard makes to its entry. */
internal class OwnerRules(private val self: ProcessId, private val times: LeaseTimes, private val view: RegionView) {
    /** The next entry of [shard], or null if it stays as it is. */
    fun change(shard: Int, lease: OwnerLease, draft: ShardMapDraft, now: Long): ShardEntry? =
        when {
            !lease.confirmed -> lease.entry
            // The write that only removes a dead successor gives nobody a right, so losing its reply does no harm.
            lease.successorDead -> lease.entry.withSuccessor(next = null, former = liveFormer(lease, now))
            else -> replaceSuccessor(shard, lease, draft, now) ?: drain(shard, lease, draft, now)
        }

    private fun replaceSuccessor(shard: Int, lease: OwnerLease, draft: ShardMapDraft, now: Long): ShardEntry? {
        val old = lease.entry.successor
        val silent = old != null && now - lease.lastAnswer > times.successorTimeoutNanos
        if (old != null && !silent && view.domainOf(old) != null) return null
        val next = draft.successorFor(shard, owner = self, without = setOfNotNull(old))
        if (next == null && !silent) return null
        val former = liveFormer(lease, now) + listOfNotNull(old).filterNot(view::dead)
        return lease.entry.withSuccessor(next = next, former = former.distinct() - setOfNotNull(next))
    }

    private fun drain(shard: Int, lease: OwnerLease, draft: ShardMapDraft, now: Long): ShardEntry? {
        val next = lease.entry.successor?.takeIf { view.domainOf(it) != null } ?: return null
        if (!view.draining || liveFormer(lease, now).isNotEmpty()) return null
        return lease.entry.handedTo(next = next, successor = draft.successorFor(shard, next, without = setOf(self)))
    }

    /** Replaced successors that could still act on evidence if this owner died now. */
    private fun liveFormer(lease: OwnerLease, now: Long): List<ProcessId> =
        if (now - lease.learnedAt >= times.historyNanos) {
            emptyList()
        } else {
            lease.entry.former.filterNot { it == self || view.dead(it) }
        }

    /**
     * Hands shards to candidates that own at least two fewer than this process. A shard is handed only to its present
     * successor, and only once no replaced successor has a right: a process that still had one against this owner
     * could not tell that the new owner acts. So a candidate is first made the successor.
     */
    fun rebalance(leases: Map<Int, OwnerLease>, draft: ShardMapDraft, now: Long) =
        moves(draft.owned()).forEach { (target, count) ->
            val movable = leases.filter { (shard, lease) -> shard !in draft.changes && lease.confirmed && !lease.alone }
            val prepared = movable.filterValues { it.entry.successor == target }.entries.take(count)
            prepared.filter { liveFormer(it.value, now).isEmpty() }.forEach { (shard, lease) ->
                draft.set(shard, lease.entry.handedTo(target, successor = draft.successorFor(shard, target)))
            }
            movable.filterValues { it.entry.successor != target }.entries.take(count - prepared.size).forEach {
                val former = liveFormer(it.value, now) + listOfNotNull(it.value.entry.successor) - target
                draft.set(it.key, it.value.entry.withSuccessor(next = target, former = former))
            }
        }

    /** Number of shards to hand to each candidate so that none owns two fewer than this process. */
    private fun moves(owned: Map<ProcessId, Int>): Map<ProcessId, Int> {
        val counts = owned.toMutableMap()
        val moves = sortedMapOf<ProcessId, Int>(compareBy { it.vm })
        while (true) {
            val mine = counts[self] ?: return moves
            val target = counts.entries.minWith(compareBy({ it.value }, { it.key.vm }))
            if (mine - target.value < 2) return moves
            moves.merge(target.key, 1, Int::plus)
            counts[self] = mine - 1
            counts[target.key] = target.value + 1
        }
    }
}
