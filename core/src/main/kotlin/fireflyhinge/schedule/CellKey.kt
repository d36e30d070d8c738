package fireflyhinge.schedule

/** Identifies cell [number] of [service], in the region of the shard map in which the key is looked up. */
data class CellKey(val service: String, val number: Int) {
    /** Key for `ShardOwnership`. */
    override fun toString(): String = "cell/$service/$number"
}
