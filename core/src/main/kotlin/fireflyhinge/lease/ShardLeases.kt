package fireflyhinge.lease

/** The leases of this process. */
interface ShardLeases {
    /** When the last complete read of the map from the store began, in monotonic nanoseconds, or null if none did. */
    val mapReadStartedAt: Long?

    /** The lease under which this process may act for [shard] of its own region now, or null. */
    fun of(shard: Int): ActingLease?

    /** Asks for a new read of the map from the store; it happens within about a second if the store answers. */
    fun requestMapRead()

    /** No leases. */
    object None : ShardLeases {
        override val mapReadStartedAt: Long? = null

        override fun of(shard: Int): ActingLease? = null

        override fun requestMapRead() = Unit
    }
}
