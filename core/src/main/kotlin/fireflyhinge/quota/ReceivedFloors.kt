package fireflyhinge.quota

/** Floors by workspace that a successor received from a shard's owner under [epoch] of the shard's map entry. */
data class ReceivedFloors(val epoch: Long, val sequence: Long, val tokens: Map<String, Long>) {
    /** Whether these floors replace [other]. */
    fun replaces(other: ReceivedFloors?): Boolean =
        other == null || epoch > other.epoch || (epoch == other.epoch && sequence > other.sequence)
}
