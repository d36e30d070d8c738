package fireflyhinge.lease

/** Accumulates changes to a region's map, so that each decision takes the previous ones into account. */
internal class ShardMapDraft(private val base: ShardMap, private val view: RegionView) {
    private val changed = sortedMapOf<Int, ShardEntry>()

    /** Entries changed so far. */
    val changes: Map<Int, ShardEntry> get() = changed.toMap()

    /** Entry of [shard] with the changes so far. */
    fun entry(shard: Int): ShardEntry = changed[shard] ?: base.shards[shard]

    /** Number of shards. */
    val size: Int get() = base.shards.size

    /** Replaces the entry of [shard] by [entry]. */
    fun set(shard: Int, entry: ShardEntry) {
        changed[shard] = entry
    }

    /** Number of shards that each candidate owns with the changes so far. */
    fun owned(): Map<ProcessId, Int> {
        val counts = (0 until size).groupingBy { entry(it).owner }.eachCount()
        return view.candidates.associate { it.process to (counts[it.process] ?: 0) }
    }

    /**
     * The best successor of [owner] for [shard], excluding the processes in [without]: prefers another failure domain,
     * then the process that is the successor of the fewest shards. Null if there is no candidate.
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
