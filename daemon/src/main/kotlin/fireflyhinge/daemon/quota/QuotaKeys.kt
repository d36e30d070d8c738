package fireflyhinge.daemon.quota

import fireflyhinge.lease.ShardOwnership

/** Keys of quota buckets in the shard map. */
internal object QuotaKeys {
    /** Shard that holds the bucket of [workspace]; the same in each region. */
    fun shardOf(ownership: ShardOwnership, workspace: String): Int = ownership.shardOf("quota/$workspace")
}
