package fireflyhinge.lease

/**
 * Maps keys to shards and shards to the daemons that own them. Keys have the form `quota/<workspace>` or
 * `cell/<service>/<cell number>`.
 */
interface ShardOwnership {
    /** The shard of [key], which is the same on every daemon. */
    fun shardOf(key: String): Int

    /** Epoch under which this process may act for [shard] of its own region now, or null if it may not. */
    fun actingEpoch(shard: Int): Long?

    /** The leases behind [actingEpoch], for actions that need more than the right to act. */
    val leases: ShardLeases get() = ShardLeases.None

    /** VM that serves [shard] in [region]: the owner or, if it is dead, its successor. Null if none is known. */
    fun ownerOf(region: String, shard: Int): String?

    /** VM of the successor of [shard] in [region] according to the known map, or null if none is known. */
    fun successorOf(region: String, shard: Int): String?
}
