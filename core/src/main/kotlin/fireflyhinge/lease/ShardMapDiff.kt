package fireflyhinge.lease

/** Difference between two versions of a region's map, for log lines. Processes are named by their VMs. */
class ShardMapDiff(private val before: ShardMap?, private val after: ShardMap) {
    /** Shards whose owner changed, by `old>new` owner. */
    val owners: Map<String, List<Int>> = changes { it.owner }

    /** Shards whose successor changed, by `old>new` successor. */
    val successors: Map<String, List<Int>> = changes { it.successor }

    /** Number of shards of each owner. */
    val owned: Map<String, Int> = after.shards.groupingBy { it.owner.vm }.eachCount().toSortedMap()

    override fun toString() = "owned $owned; owners changed $owners; successors changed $successors"

    private fun changes(part: (ShardEntry) -> ProcessId?): Map<String, List<Int>> =
        before?.shards.orEmpty().zip(after.shards) { old, new -> part(old) to part(new) }
            .withIndex()
            .filter { (_, processes) -> processes.first != processes.second }
            .groupBy({ (_, processes) -> "${processes.first?.vm}>${processes.second?.vm}" }, { it.index })
            .toSortedMap()
}
