package fireflyhinge.gateway.forward

import fireflyhinge.forward.ForwardWorkspace
import fireflyhinge.forward.QuotaShares
import fireflyhinge.gateway.fleet.QuotaBorrower
import fireflyhinge.gateway.fleet.QuotaMetrics
import fireflyhinge.gateway.http.monotonicMillis
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/**
 * Refusal of a request for want of tokens.
 *
 * @property retryAfterMillis time after which a retry may succeed.
 * @property overLimit whether the workspace is known to be over its limit.
 */
internal data class QuotaRefusal(val retryAfterMillis: Long, val overLimit: Boolean)

/** Charges requests to their workspace, from this VM's share or with tokens borrowed from other VMs. */
internal class QuotaCharger(
    private val shares: QuotaShares,
    private val lender: QuotaBorrower,
    private val scope: CoroutineScope,
    private val metrics: QuotaMetrics,
) {
    /** Whether the last loan of a workspace was complete ([fireflyhinge.gateway.fleet.Loan]). */
    private val complete = ConcurrentHashMap<String, Boolean>()
    private val nextBorrowMillis = ConcurrentHashMap<String, Long>()
    private val waiting = ConcurrentHashMap<String, Int>()

    /**
     * Takes [tokens] of [workspace]. Returns null if granted.
     * Waits up to [timeoutMillis] for tokens, unless [MAX_WAITING] requests of the workspace wait already.
     */
    suspend fun charge(workspace: ForwardWorkspace, tokens: Double, timeoutMillis: Long): QuotaRefusal? {
        if (shares.take(workspace, tokens)) return null
        val name = workspace.name
        val ahead = waiting.getOrDefault(name, 0)
        if (ahead >= MAX_WAITING) return refusal(workspace, tokens)
        waiting.merge(name, 1, Int::plus)
        try {
            return borrowed(workspace, tokens, monotonicMillis() + timeoutMillis)
        } finally {
            val others = waiting.merge(name, -1, Int::plus)
            if (others == 0) repay(workspace)
        }
    }

    private suspend fun borrowed(workspace: ForwardWorkspace, tokens: Double, until: Long): QuotaRefusal? {
        while (true) {
            val now = monotonicMillis()
            val borrows = now >= (nextBorrowMillis[workspace.name] ?: 0)
            if (borrows) {
                nextBorrowMillis[workspace.name] = now + BORROW_INTERVAL_MILLIS
                val loan = lender.borrow(workspace.name, shares.borrowAmount(workspace, tokens))
                shares.add(workspace, loan.tokens)
                complete[workspace.name] = loan.complete && !shares.young
            }
            if (shares.take(workspace, tokens)) {
                // Only a workspace whose loans do not suffice has to pause.
                if (borrows) nextBorrowMillis.remove(workspace.name)
                return null
            }
            if (monotonicMillis() + POLL_MILLIS > until) return refusal(workspace, tokens)
            delay(POLL_MILLIS)
        }
    }

    private fun refusal(workspace: ForwardWorkspace, tokens: Double): QuotaRefusal {
        val overLimit = complete[workspace.name] == true
        metrics.refusal(workspace.name, overLimit)
        return QuotaRefusal(shares.waitMillis(workspace, tokens), overLimit)
    }

    /** Accrues tokens and returns those of shares that this VM holds no longer; to be called several times a second. */
    fun refresh(workspaces: Collection<ForwardWorkspace>) {
        shares.refresh(workspaces)
        workspaces.filter { waiting.getOrDefault(it.name, 0) == 0 }.forEach(::repay)
    }

    /** Refunds [tokens] of a request that was sent to no replica. */
    fun refund(workspace: ForwardWorkspace, tokens: Double) {
        shares.add(workspace, tokens, returned = true)
        repay(workspace)
    }

    private fun repay(workspace: ForwardWorkspace) {
        val surplus = shares.takeSurplus(workspace)
        if (surplus > 0) scope.launch { lender.repay(workspace.name, surplus) }
    }

    private companion object {
        /** Interval between borrow calls of a workspace, so that not each request over the limit makes one. */
        const val BORROW_INTERVAL_MILLIS = 80L

        /** A loan for another request arrives within milliseconds from the own region. */
        const val POLL_MILLIS = 20L

        /** Concurrently waiting requests per workspace; more could not be served within the latency objective. */
        const val MAX_WAITING = 3
    }
}
