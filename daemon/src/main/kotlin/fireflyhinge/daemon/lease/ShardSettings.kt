package fireflyhinge.daemon.lease

import fireflyhinge.lease.LeaseTimes

/** Settings of shard ownership. [shardCount] is fixed when a region's map is first written and the same everywhere. */
data class ShardSettings(val shardCount: Int = 64, val times: LeaseTimes = LeaseTimes())
