package fireflyhinge.lease

/** Tells which daemon owns a key's shard. Keys have the form `quota/<workspace>` or `cell/<service>/<cell number>`. */
interface ShardOwnership {
    /** Shard of [key]; the same on every daemon. */
    fun shardOf(key: String): Int

    /** Epoch under which this process may act for [shard] of its own region at this moment, or null if it may not. */
    fun actingEpoch(shard: Int): Long?

    /** The leases behind [actingEpoch], for actions that need more than the right to act. */
    val leases: ShardLeases get() = ShardLeases.None

    /** VM to ask for [shard] in [region]: the owner, or the successor of a dead one; null if none is known. */
    fun ownerOf(region: String, shard: Int): String?

    /** VM that is believed to succeed the owner of [shard] in [region], or null if none is known. */
    fun successorOf(region: String, shard: Int): String?
}
