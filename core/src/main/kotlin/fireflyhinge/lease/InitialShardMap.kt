package fireflyhinge.lease

/** Plans the first map of a region. */
internal object InitialShardMap {
    /** A map of [count] shards divided evenly over the candidates of [view], of which there is at least one. */
    fun plan(region: String, count: Int, view: RegionView): ShardMap {
        val owners = view.candidates.map { it.process }
        val bare =
            List(count) { ShardEntry(owner = owners[it % owners.size], successor = null, epoch = 1, ownerEpoch = 1) }
        val draft = ShardMapDraft(ShardMap(region, bare), view)
        repeat(count) { shard ->
            val entry = draft.entry(shard)
            draft.set(shard, entry.copy(successor = draft.successorFor(shard, entry.owner)))
        }
        return ShardMap(region, bare).with(draft.changes)
    }
}
