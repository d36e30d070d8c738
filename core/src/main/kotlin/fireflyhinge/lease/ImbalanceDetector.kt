package fireflyhinge.lease

/** Detects a lasting excess of owned shards, which this process should hand over. Not thread-safe. */
internal class ImbalanceDetector(private val state: LeaseState) {
    private var unevenSince: Long? = null

    /** Whether another candidate has owned at least two shards fewer for [LeaseTimes.rebalanceDelayNanos]. */
    fun unbalanced(draft: ShardMapDraft, now: Long): Boolean {
        val counts = draft.owned()
        val uneven = (counts[state.self] ?: 0) - (counts.values.minOrNull() ?: 0) >= 2
        unevenSince = if (uneven) unevenSince ?: now else null
        return unevenSince?.let { now - it >= state.times.rebalanceDelayNanos } ?: false
    }
}
