package fireflyhinge.daemon.quota

import fireflyhinge.lease.ShardOwnership
import fireflyhinge.membership.Membership
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.CrashReport
import fireflyhinge.peer.PeerTransport
import fireflyhinge.peer.SettleRequest
import fireflyhinge.quota.Charge
import fireflyhinge.quota.QuotaClient
import fireflyhinge.result.Outcome
import fireflyhinge.time.MonotonicClock

/**
 * Charges at the owner of the workspace's quota, in this process or at a peer.
 *
 * @param refreshMaps requests newer shard maps after a failed call or a reply from a VM that does not own the quota;
 * does not block.
 */
class PeerQuotaClient(
    private val ownership: ShardOwnership,
    private val membership: Membership,
    private val transport: PeerTransport,
    private val local: QuotaService,
    private val refreshMaps: () -> Unit = {},
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) : QuotaClient, AutoCloseable {
    private val sender = OneWaySender(transport)

    override fun charge(request: ChargeRequest, abandoned: () -> Boolean): Outcome<Charge> {
        val owners = OwnerClient(ownership, membership.self(), transport, local, clock)
        val operation = ChargeOperation(request, owners, clock, refreshMaps, abandoned)
        val outcome = operation.run()
        if (outcome is Outcome.Failure) operation.ownersToRefund.forEach { refundAll(it, request) }
        return outcome
    }

    /** Refunds in full a charge that the owner may have debited although its reply was not used. */
    private fun refundAll(owner: String, request: ChargeRequest) =
        send(
            owner,
            SettleRequest(
                chargeId = request.chargeId,
                workspace = request.workspace,
                epoch = 0,
                unusedTokens = request.tokens,
            ),
        )

    override fun settle(charge: Charge, unusedTokens: Double) =
        send(
            charge.owner,
            SettleRequest(
                chargeId = charge.chargeId,
                workspace = charge.workspace,
                epoch = charge.epoch,
                unusedTokens = unusedTokens,
            ),
        )

    private fun send(owner: String, request: SettleRequest) {
        if (owner == membership.self().id) local.settle(request) else sender.send(owner, "/peer/v1/settle", request)
    }

    override fun reportCrash(report: CrashReport) {
        val self = membership.self()
        val shard = QuotaKeys.shardOf(ownership, report.workspace)
        setOfNotNull(ownership.ownerOf(self.region, shard), ownership.successorOf(self.region, shard)).forEach { vm ->
            if (vm == self.id) local.recordCrash(report) else sender.send(vm, "/peer/v1/crash", report)
        }
    }

    override fun close() = sender.close()
}
