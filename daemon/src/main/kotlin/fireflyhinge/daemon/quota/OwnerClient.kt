package fireflyhinge.daemon.quota

import fireflyhinge.lease.ShardOwnership
import fireflyhinge.membership.Member
import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import fireflyhinge.time.MonotonicClock

/** Sends charges to the owner of a workspace's quota, in this process or at a peer. */
internal class OwnerClient(
    private val ownership: ShardOwnership,
    private val self: Member,
    private val transport: PeerTransport,
    private val local: QuotaService,
    private val clock: MonotonicClock,
) {
    /** VM that charges [workspace]: this one if it acts for the shard, else [hint], else the owner in the shard map. */
    fun ownerOf(workspace: String, hint: String?): String? {
        val shard = QuotaKeys.shardOf(ownership, workspace)
        if (ownership.actingEpoch(shard) != null) return self.id
        return hint ?: ownership.ownerOf(self.region, shard)
    }

    /** Sends [request] to [owner] once. Blocks for at most [QuotaTimes.CHARGE_TIMEOUT_MILLIS]. */
    fun charge(owner: String, request: ChargeRequest): TimedChargeResult {
        val sentAt = clock.nanos()
        if (owner == self.id) return TimedChargeResult(PeerResult.Ok(local.charge(request)), sentAt)
        val result =
            transport.post(
                vm = owner,
                path = "/peer/v1/charge",
                message = request,
                reply = ChargeReply::class.java,
                timeoutMillis = QuotaTimes.CHARGE_TIMEOUT_MILLIS,
            )
        return TimedChargeResult(result, sentAt)
    }
}
