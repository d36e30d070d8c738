package fireflyhinge.systemtest

import fireflyhinge.lease.ShardHash

/** Names of workspaces, chosen by the shards of their buckets. */
internal object BucketNames {
    private const val STEP = 5

    /**
     * Workspaces with a bucket in every fifth shard. The order in which the owners write the map decides which shards
     * move to a VM that joins. They are runs of the shards of one owner, which are neighbours or, after an even start
     * of two to four VMs, two to four apart; five of a run always include a bucket.
     */
    val spread: List<String> =
        (0 until SHARDS step STEP).map { shard ->
            generateSequence(1) { it + 1 }.map { "klerki-$it" }.first { shardOf(it) == shard }
        }

    /** Shard of the bucket of [workspace]. */
    fun shardOf(workspace: String): Int = ShardHash.shardOf("quota/$workspace", SHARDS)
}
