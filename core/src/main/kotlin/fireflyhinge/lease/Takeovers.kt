package fireflyhinge.lease

/** Takeover by evidence, and the questions to replaced successors that must come before a takeover. */
internal class Takeovers(private val state: LeaseState) {
    /**
     * Ends the promises to dead owners and, while the store does not answer, acts for their shards. Shards with a write
     * whose result is not known are left out: it may have made another process a successor with rights of its own.
     */
    fun onEvidence(view: RegionView, storeAnswers: Boolean, now: Long) {
        val rules = TakeoverRules(state, view)
        state.entries.forEachIndexed { shard, entry ->
            val diedAt = view.deadBy(entry.owner).takeIf { entry.successor == state.self } ?: return@forEachIndexed
            state.successors.noteEvidence(shard, entry, diedAt)
            val free = shard !in state.writing && state.owners.all[shard] == null
            if (!storeAnswers && free && rules.byEvidence(shard, entry, now)) {
                state.owners.takeOnEvidence(shard, entry.withOwner(next = state.self, successor = null), now)
            }
        }
    }

    /** Shards and epochs for which each replaced successor must be asked before this process could take over. */
    fun releasesToAsk(view: RegionView, now: Long): Map<ProcessId, List<Pair<Int, Long>>> {
        val rules = TakeoverRules(state, view)
        return state.entries
            .withIndex()
            .filter { (_, entry) -> entry.owner != state.self }
            .filter { (_, entry) -> entry.successor == state.self || view.dead(entry.owner) }
            .flatMap { (shard, entry) -> rules.formerToAsk(shard, entry, now).map { it to (shard to entry.epoch) } }
            .groupBy({ it.first }, { it.second })
    }
}
