package fireflyhinge.lease

/** The shard leases that this process holds. */
interface ShardLeases {
    /** Start of the last complete read of the map from the store, in monotonic nanoseconds; null before the first. */
    val mapReadStartedAt: Long?

    /** The lease under which this process may act for [shard] of its own region now, or null if it may not. */
    fun of(shard: Int): ActingLease?

    /** Requests a new read of the map from the store, which takes place within about 1 s if the store responds. */
    fun requestMapRead()

    /** Holds no leases. */
    object None : ShardLeases {
        override val mapReadStartedAt: Long? = null

        override fun of(shard: Int): ActingLease? = null

        override fun requestMapRead() = Unit
    }
}
