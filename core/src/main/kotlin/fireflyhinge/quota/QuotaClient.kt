package fireflyhinge.quota

import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.CrashReport
import fireflyhinge.result.Outcome

/** Charges requests at the owner of their workspace's quota, wherever it runs. */
interface QuotaClient {
    /**
     * Blocks until the charge may be used, is refused, or [ChargeRequest.maxWaitMillis] has passed. Polls [abandoned]
     * at least every 100 ms and returns the charge to the owner when the caller has left.
     */
    fun charge(request: ChargeRequest, abandoned: () -> Boolean): Outcome<Charge>

    /** Returns [unusedTokens] of [charge]; does not block. */
    fun settle(charge: Charge, unusedTokens: Double)

    /** Reports a replica crash to the owner and the successor; does not block. */
    fun reportCrash(report: CrashReport)
}
