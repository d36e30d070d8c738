package fireflyhinge.lease

/** Changes that the owner of a shard makes to its entry. */
internal class OwnerRules(private val self: ProcessId, private val times: LeaseTimes, private val view: RegionView) {
    /** The next entry of [shard], or null if it stays as it is. */
    fun change(shard: Int, lease: OwnerLease, draft: MapDraft, now: Long): ShardEntry? =
        when {
            !lease.confirmed -> lease.entry
            // The write that only removes a dead successor gives nobody a right, so losing its reply does no harm.
            lease.successorDead -> lease.entry.withSuccessor(next = null, former = liveFormer(lease, now))
            else -> replaceSuccessor(shard, lease, draft, now) ?: drain(shard, lease, draft, now)
        }

    private fun replaceSuccessor(shard: Int, lease: OwnerLease, draft: MapDraft, now: Long): ShardEntry? {
        val old = lease.entry.successor
        val silent = old != null && now - lease.lastAnswer > times.silence
        if (old != null && !silent && view.domainOf(old) != null) return null
        val next = draft.successorFor(shard, owner = self, without = setOfNotNull(old))
        if (next == null && !silent) return null
        val former = liveFormer(lease, now) + listOfNotNull(old).filterNot(view.dead)
        return lease.entry.withSuccessor(next = next, former = former.distinct() - setOfNotNull(next))
    }

    private fun drain(shard: Int, lease: OwnerLease, draft: MapDraft, now: Long): ShardEntry? {
        val next = lease.entry.successor?.takeIf { view.domainOf(it) != null } ?: return null
        if (!view.draining || liveFormer(lease, now).isNotEmpty()) return null
        return lease.entry.withOwner(next = next, successor = draft.successorFor(shard, next, without = setOf(self)))
    }

    /** Replaced successors that could still act on evidence if this owner died now. */
    private fun liveFormer(lease: OwnerLease, now: Long): List<ProcessId> =
        if (now - lease.learnedAt >= times.history) emptyList() else lease.entry.former.filterNot(view.dead)

    /** Hands shards to candidates that own at least two fewer than this process. */
    fun rebalance(leases: Map<Int, OwnerLease>, draft: MapDraft, now: Long) {
        for ((shard, lease) in leases) {
            val owned = draft.owned()
            val mine = owned[self] ?: return
            val target = owned.entries.minWith(compareBy({ it.value }, { it.key.vm }))
            if (mine - target.value < 2) return
            if (shard in draft.changes || !mayMove(lease, now)) continue
            val successor = lease.entry.successor.takeIf { it != target.key } ?: self
            draft.set(shard, lease.entry.withOwner(next = target.key, successor = successor))
        }
    }

    private fun mayMove(lease: OwnerLease, now: Long) =
        lease.confirmed && lease.entry.successor != null && liveFormer(lease, now).isEmpty()
}
