package fireflyhinge.lease

/** A region's map while changes to it are chosen, so that each choice sees the ones before it. */
internal class ShardMapDraft(private val base: ShardMap, private val view: RegionView) {
    private val changed = sortedMapOf<Int, ShardEntry>()

    /** Entries changed so far. */
    val changes: Map<Int, ShardEntry> get() = changed.toMap()

    /** Entry of [shard] with the changes so far. */
    fun entry(shard: Int): ShardEntry = changed[shard] ?: base.shards[shard]

    /** Number of shards. */
    val size: Int get() = base.shards.size

    /** Changes [shard] to [entry]. */
    fun set(shard: Int, entry: ShardEntry) {
        changed[shard] = entry
    }

    /** Number of shards that each candidate owns. */
    fun owned(): Map<ProcessId, Int> {
        val counts = (0 until size).groupingBy { entry(it).owner }.eachCount()
        return view.candidates.associate { it.process to (counts[it.process] ?: 0) }
    }

    /**
     * The best successor of [owner] for [shard] apart from those in [without]: in another failure domain if there is
     * one, then the one that succeeds for the fewest shards. Null if there is no candidate.
     */
    fun successorFor(shard: Int, owner: ProcessId, without: Set<ProcessId> = emptySet()): ProcessId? {
        val domain = view.domainOf(owner)
        val load = (0 until size).groupingBy { entry(it).successor }.eachCount()
        return view.candidates
            .filter { it.process != owner && it.process !in without }
            .minWithOrNull(
                compareBy(
                    { it.failureDomain == domain },
                    { load[it.process] ?: 0 },
                    { ShardHash.hash("$shard ${it.process.vm}") },
                ),
            )?.process
    }
}
