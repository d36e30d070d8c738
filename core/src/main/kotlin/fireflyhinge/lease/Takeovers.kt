package fireflyhinge.lease

/** Takeovers on death evidence, and the releases that replaced successors must give before a takeover. */
internal class Takeovers(private val state: LeaseState) {
    /**
     * Ends the promises to dead owners and, while the store does not answer, takes over their shards. Shards with a
     * write whose result is unknown are skipped, since it may have made another process a successor with rights.
     */
    fun onEvidence(view: RegionView, storeAvailable: Boolean, now: Long) {
        val rules = TakeoverRules(state, view)
        state.entries.forEachIndexed { shard, entry ->
            val diedAt = view.deadBy(entry.owner).takeIf { entry.successor == state.self } ?: return@forEachIndexed
            state.successors.recordDeath(shard, entry, diedAt)
            val free = shard !in state.writing && state.owners.all[shard] == null
            if (!storeAvailable && free && rules.mayTakeOnEvidence(shard, entry, now)) {
                state.owners.takeOnEvidence(shard, entry.withOwner(next = state.self, successor = null), now)
            }
        }
    }

    /** Releases to request before this process may take over: shards and epochs by replaced successor. */
    fun releasesToRequest(view: RegionView, now: Long): Map<ProcessId, List<Pair<Int, Long>>> {
        val rules = TakeoverRules(state, view)
        return state.entries
            .withIndex()
            .filter { (_, entry) -> entry.owner != state.self }
            .filter { (_, entry) -> entry.successor == state.self || view.dead(entry.owner) }
            .flatMap { (shard, entry) -> rules.releasesNeeded(shard, entry, now).map { it to (shard to entry.epoch) } }
            .groupBy({ it.first }, { it.second })
    }
}
