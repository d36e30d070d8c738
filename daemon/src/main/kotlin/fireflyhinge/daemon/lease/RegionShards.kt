package fireflyhinge.daemon.lease

/** What other services need to know about shards beyond ownership. */
interface RegionShards {
    /** Regions that have a shard map. A map is never deleted, so this set only grows. */
    val regions: Set<String>

    /** Shards of the own region for which this process may act at this moment. */
    val actingShards: List<Int>

    /** Sends lease requests at once, so that successors learn newer state of the shards. Does not block. */
    fun renew()
}
