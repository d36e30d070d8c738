package fireflyhinge.lease

/** Creates the first shard map of a region. */
internal object InitialShardMap {
    /** Returns a map of [count] shards divided evenly over the candidates of [view], which must not be empty. */
    fun plan(region: String, count: Int, view: RegionView): ShardMap {
        val owners = view.candidates.map { it.process }
        val withoutSuccessors =
            List(count) { ShardEntry(owner = owners[it % owners.size], successor = null, epoch = 1, ownerEpoch = 1) }
        val draft = ShardMapDraft(ShardMap(region, withoutSuccessors), view)
        repeat(count) { shard ->
            val entry = draft.entry(shard)
            draft.set(shard, entry.copy(successor = draft.successorFor(shard, entry.owner)))
        }
        return ShardMap(region, withoutSuccessors).with(draft.changes)
    }
}
