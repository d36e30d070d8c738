package fireflyhinge.lease

/** Adds the takeovers that one process makes through the store to a draft of the map. Not thread-safe. */
internal class TakeoverWrites(private val state: LeaseState) {
    private val orphanedSince = HashMap<Int, Long>()

    /** Adds all takeovers that are due. */
    fun add(view: RegionView, draft: ShardMapDraft, now: Long) {
        val rules = TakeoverRules(state, view)
        for (shard in 0 until draft.size) {
            val entry = draft.entry(shard)
            if (entry.owner == state.self || shard in draft.changes) continue
            if (rules.mayTakeThroughStore(shard, entry, now) || mayClaim(rules, shard, entry, now)) {
                val next = draft.successorFor(shard, owner = state.self, without = setOf(entry.owner))
                draft.set(shard, rules.entryAfterTakeover(shard, entry, successor = next))
            }
        }
    }

    private fun mayClaim(rules: TakeoverRules, shard: Int, entry: ShardEntry, now: Long): Boolean {
        if (!rules.orphaned(shard, entry)) {
            orphanedSince.remove(shard)
            return false
        }
        val since = orphanedSince.getOrPut(shard) { now }
        return rules.claimDelay(shard)?.let { now - since > it } ?: false
    }
}
