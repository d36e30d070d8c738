package fireflyhinge.lease

/** Notices that this process owns too many shards for long enough to hand some over. Not thread-safe. */
internal class ImbalanceDetector(private val state: LeaseState) {
    private var since: Long? = null

    /** Whether another candidate has owned at least two shards fewer for the settling time. */
    fun unbalanced(draft: ShardMapDraft, now: Long): Boolean {
        val counts = draft.owned()
        val uneven = (counts[state.self] ?: 0) - (counts.values.minOrNull() ?: 0) >= 2
        since = if (uneven) since ?: now else null
        return since?.let { now - it >= state.times.rebalanceDelayNanos } ?: false
    }
}
