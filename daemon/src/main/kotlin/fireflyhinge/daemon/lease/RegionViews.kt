package fireflyhinge.daemon.lease

import fireflyhinge.lease.Candidate
import fireflyhinge.lease.ProcessId
import fireflyhinge.lease.RegionView
import fireflyhinge.lease.process
import fireflyhinge.membership.MemberState
import fireflyhinge.membership.Membership
import java.util.Optional
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Builds the lease rules' view of the region from the member table. */
internal object RegionViews {
    /** The view of [membership]; a [draining] process is no candidate itself. */
    fun of(membership: Membership, draining: Boolean): RegionView {
        val self = membership.self()
        val leaving = draining || self.state == MemberState.DRAINING
        val candidates =
            membership.members()
                .filter { it.region == self.region && if (it.id == self.id) !leaving else it.state == MemberState.LIVE }
                .map { Candidate(process = it.process, failureDomain = it.failureDomain) }
                .sortedBy { it.process.vm }
        // The rules ask about the same few processes for every shard.
        val dead = ConcurrentHashMap<ProcessId, Optional<Long>>()
        return RegionView(
            candidates = candidates,
            draining = leaving,
            deadBy = { process ->
                dead.computeIfAbsent(process) { Optional.ofNullable(membership.deadBy(it.vm, it.incarnation)) }
                    .map(::endOfMilli).orElse(null)
            },
        )
    }

    /** Milliseconds are rounded down, and a process must not count as dead before it was. */
    private fun endOfMilli(millis: Long): Long = TimeUnit.MILLISECONDS.toNanos(millis + 1)
}
