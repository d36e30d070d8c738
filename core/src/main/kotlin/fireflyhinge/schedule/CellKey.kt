package fireflyhinge.schedule

/** Names one cell: cell [number] of [service]. The region is that of the shard map that the key is looked up in. */
data class CellKey(val service: String, val number: Int) {
    /** Key for `ShardOwnership`. */
    override fun toString(): String = "cell/$service/$number"
}
