package fireflyhinge.lease

/** Chooses the changes that one process makes to its region's map and follows them until their result is known. */
internal class ShardMapWriter(private val state: LeaseState) {
    private val takeovers = TakeoverWrites(state)
    private val balance = ImbalanceDetector(state)
    private var uncertain = false

    /** Learns [newer] if it is newer, which also settles a write of an older version. */
    fun learn(newer: VersionedShardMap, now: Long): Boolean {
        if (newer.version <= (state.knownMap?.version ?: Long.MIN_VALUE)) return false
        state.knownMap = newer
        state.successors.learn(newer.map, state.pending?.changes.orEmpty(), now)
        state.owners.learn(newer.map, now)
        state.peers.retain(newer.map.shards.flatMap { it.former + listOfNotNull(it.successor) }.toSet())
        settle()
        return true
    }

    private fun settle() {
        state.writing.forEach(state.owners::endWrite)
        state.pending = null
        uncertain = false
    }

    /** Ends a write that did not take effect; with [maybe] it is repeated until the store tells. */
    fun failed(maybe: Boolean) {
        if (state.pending == null) return
        uncertain = uncertain || maybe
        if (!uncertain) settle()
    }

    /** The next write, or the one whose result is not known. It counts as sent from now on. */
    fun next(view: RegionView, now: Long): ShardMapWrite? {
        val write = plan(view, now) ?: return null
        if (write !== state.pending) begin(write, now)
        return write
    }

    /** What [next] would return. */
    fun plan(view: RegionView, now: Long): ShardMapWrite? {
        state.pending?.let { return it }
        val known = state.knownMap ?: return initial(view)
        val draft = ShardMapDraft(known.map, view)
        ownChanges(view, draft, now)
        takeovers.add(view, draft, now)
        val changes = draft.changes
        if (changes.isEmpty()) return null
        return ShardMapWrite(version = known.version, map = known.map.with(changes), changes = changes)
    }

    private fun initial(view: RegionView): ShardMapWrite? {
        if (view.candidates.none { it.process == state.self }) return null
        val map = InitialShardMap.plan(state.region, state.shardCount, view)
        return ShardMapWrite(version = null, map = map, changes = emptyMap())
    }

    private fun begin(write: ShardMapWrite, now: Long) {
        state.pending = write
        write.changes.forEach { (shard, entry) ->
            val stop = entry.owner != state.self
            state.owners.beginWrite(shard, stop = stop, givesRight = entry.successor != null, now = now)
        }
    }

    private fun ownChanges(view: RegionView, draft: ShardMapDraft, now: Long) {
        val rules = OwnerRules(state.self, state.times, view)
        state.owners.all.forEach { (shard, lease) ->
            rules.change(shard, lease, draft, now)?.let { draft.set(shard, it) }
        }
        if (balance.unbalanced(draft, now)) rules.rebalance(state.owners.all, draft, now)
    }
}
