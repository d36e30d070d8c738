package fireflyhinge.quota

import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.CrashReport
import fireflyhinge.result.Outcome

/** Charges requests at the owner of their workspace's quota, local or remote. */
interface QuotaClient {
    /**
     * Blocks until the charge can be used, is refused, or [ChargeRequest.maxWaitMillis] has passed. Polls [abandoned]
     * at least every 100 ms and refunds the charge once the caller has disconnected.
     */
    fun charge(request: ChargeRequest, abandoned: () -> Boolean): Outcome<Charge>

    /** Refunds [unusedTokens] of [charge]; does not block. */
    fun settle(charge: Charge, unusedTokens: Double)

    /** Reports a replica crash to the owner and the successor; does not block. */
    fun reportCrash(report: CrashReport)
}
