package fireflyhinge.lease

/** Decides how the owner of a shard changes the entry of the shard. */
internal class OwnerRules(private val self: ProcessId, private val times: LeaseTimes, private val view: RegionView) {
    /** The next entry of [shard], or null if it does not change. */
    fun change(shard: Int, lease: OwnerLease, draft: ShardMapDraft, now: Long): ShardEntry? =
        when {
            !lease.confirmed -> lease.entry
            // Removing a dead successor gives no process a right to act, so a lost reply to this write does no harm.
            lease.successorDead -> lease.entry.withSuccessor(next = null, former = liveFormer(lease, now))
            else -> replaceSuccessor(shard, lease, draft, now) ?: drain(shard, lease, draft, now)
        }

    private fun replaceSuccessor(shard: Int, lease: OwnerLease, draft: ShardMapDraft, now: Long): ShardEntry? {
        val old = lease.entry.successor
        val timedOut = old != null && now - lease.lastReplyAt > times.successorTimeoutNanos
        if (old != null && !timedOut && view.domainOf(old) != null) return null
        val next = draft.successorFor(shard, owner = self, without = setOfNotNull(old))
        if (next == null && !timedOut) return null
        val former = liveFormer(lease, now) + listOfNotNull(old).filterNot(view::dead)
        return lease.entry.withSuccessor(next = next, former = former.distinct() - setOfNotNull(next))
    }

    private fun drain(shard: Int, lease: OwnerLease, draft: ShardMapDraft, now: Long): ShardEntry? {
        val next = lease.entry.successor?.takeIf { view.domainOf(it) != null } ?: return null
        if (!view.draining || liveFormer(lease, now).isNotEmpty()) return null
        return lease.entry.handedTo(next = next, successor = draft.successorFor(shard, next, without = setOf(self)))
    }

    /** Replaced successors that could still act on death evidence if this owner died now. */
    private fun liveFormer(lease: OwnerLease, now: Long): List<ProcessId> =
        if (now - lease.learnedAt >= times.historyNanos) {
            emptyList()
        } else {
            lease.entry.former.filterNot { it == self || view.dead(it) }
        }

    /**
     * Hands shards over to candidates that own at least two fewer than this process. A shard is handed over only to its
     * current successor, and only when no replaced successor can act any more: one that still had a right against this
     * owner could not know that the new owner acts. A candidate is therefore first made the successor.
     */
    fun rebalance(leases: Map<Int, OwnerLease>, draft: ShardMapDraft, now: Long) =
        moves(draft.owned()).forEach { (target, count) ->
            val movable =
                leases.filter { (shard, lease) ->
                    shard !in draft.changes && lease.confirmed && !lease.needsNoPromise
                }
            val prepared = movable.filterValues { it.entry.successor == target }.entries.take(count)
            prepared.filter { liveFormer(it.value, now).isEmpty() }.forEach { (shard, lease) ->
                draft.set(shard, lease.entry.handedTo(target, successor = draft.successorFor(shard, target)))
            }
            movable.filterValues { it.entry.successor != target }.entries.take(count - prepared.size).forEach {
                val former = liveFormer(it.value, now) + listOfNotNull(it.value.entry.successor) - target
                draft.set(it.key, it.value.entry.withSuccessor(next = target, former = former))
            }
        }

    /** Number of shards to hand over to each candidate so that none owns two fewer than this process. */
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
