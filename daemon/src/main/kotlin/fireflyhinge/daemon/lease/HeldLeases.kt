package fireflyhinge.daemon.lease

import fireflyhinge.lease.ActingLease
import fireflyhinge.lease.ShardLeases

/** The leases of the running process. */
internal class HeldLeases(
    private val mapRead: () -> Long?,
    private val refresh: () -> Unit,
    private val lease: (Int) -> ActingLease?,
) : ShardLeases {
    override val mapReadStartedAt: Long? get() = mapRead()

    override fun of(shard: Int): ActingLease? = lease(shard)

    override fun requestMapRead() = refresh()
}
