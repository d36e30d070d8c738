package fireflyhinge.lease

/** Plans the writes of one process to its region's map and tracks each until its result is known. */
internal class ShardMapWriter(private val state: LeaseState) {
    private val takeovers = TakeoverWrites(state)
    private val balance = ImbalanceDetector(state)
    private var uncertain = false

    /** Adopts [newer] if it is newer, which also decides the result of a pending write. */
    fun learn(newer: VersionedShardMap, now: Long): Boolean {
        if (newer.version <= (state.knownMap?.version ?: Long.MIN_VALUE)) return false
        state.knownMap = newer
        state.successors.learn(newer.map, state.pendingWrite?.changes.orEmpty(), now)
        state.owners.learn(newer.map, now)
        state.peers.retain(newer.map.shards.flatMap { it.former + listOfNotNull(it.successor) }.toSet())
        settle()
        return true
    }

    private fun settle() {
        state.writing.forEach(state.owners::endWrite)
        state.pendingWrite = null
        uncertain = false
    }

    /** Ends a write that did not take effect. If [uncertain], it is repeated until its result is known. */
    fun onFailed(uncertain: Boolean) {
        if (state.pendingWrite == null) return
        this.uncertain = this.uncertain || uncertain
        if (!this.uncertain) settle()
    }

    /** The write whose result is not known, or else the next one. It counts as sent from now on. */
    fun next(view: RegionView, now: Long): ShardMapWrite? {
        val write = plan(view, now) ?: return null
        if (write !== state.pendingWrite) begin(write, now)
        return write
    }

    /** The write that [next] would return. */
    fun plan(view: RegionView, now: Long): ShardMapWrite? {
        state.pendingWrite?.let { return it }
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
        state.pendingWrite = write
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
