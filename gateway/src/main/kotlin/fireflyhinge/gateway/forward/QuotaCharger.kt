package fireflyhinge.gateway.forward

import fireflyhinge.forward.ForwardWorkspace
import fireflyhinge.forward.QuotaShares
import fireflyhinge.gateway.fleet.QuotaBorrower
import fireflyhinge.gateway.http.monotonicMillis
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Charges requests to their workspace, from this VM's share or with tokens borrowed from other VMs. */
internal class QuotaCharger(
    private val shares: QuotaShares,
    private val lender: QuotaBorrower,
    private val scope: CoroutineScope,
) {
    private val nextBorrowMillis = ConcurrentHashMap<String, Long>()
    private val waiting = ConcurrentHashMap<String, Int>()

    /**
     * Takes [tokens] of [workspace]. Returns null if granted, else the milliseconds after which a retry may succeed.
     * Waits up to [timeoutMillis] for tokens, unless [MAX_WAITING] requests of the workspace wait already.
     */
    suspend fun charge(workspace: ForwardWorkspace, tokens: Double, timeoutMillis: Long): Long? {
        if (shares.take(workspace, tokens)) return null
        val name = workspace.name
        val ahead = waiting.getOrDefault(name, 0)
        if (ahead >= MAX_WAITING) return shares.waitMillis(workspace, tokens)
        waiting.merge(name, 1, Int::plus)
        try {
            return borrowed(workspace, tokens, monotonicMillis() + timeoutMillis)
        } finally {
            val others = waiting.merge(name, -1, Int::plus)
            if (others == 0) repay(workspace)
        }
    }

    private suspend fun borrowed(workspace: ForwardWorkspace, tokens: Double, until: Long): Long? {
        while (true) {
            val now = monotonicMillis()
            if (now >= (nextBorrowMillis[workspace.name] ?: 0)) {
                nextBorrowMillis[workspace.name] = now + BORROW_INTERVAL_MILLIS
                shares.add(workspace, lender.borrow(workspace.name, shares.borrowAmount(workspace, tokens)))
            }
            if (shares.take(workspace, tokens)) return null
            if (monotonicMillis() + BORROW_INTERVAL_MILLIS > until) return shares.waitMillis(workspace, tokens)
            delay(BORROW_INTERVAL_MILLIS)
        }
    }

    /** Refunds [tokens] of a request that was sent to no replica. */
    fun refund(workspace: ForwardWorkspace, tokens: Double) {
        shares.add(workspace, tokens)
        repay(workspace)
    }

    private fun repay(workspace: ForwardWorkspace) {
        val surplus = shares.takeSurplus(workspace)
        if (surplus > 0) scope.launch { lender.repay(workspace.name, surplus) }
    }

    private companion object {
        /** Interval between borrow calls of a workspace, so that not each request over the limit makes one. */
        const val BORROW_INTERVAL_MILLIS = 80L

        /** Concurrently waiting requests per workspace; more could not be served within the latency objective. */
        const val MAX_WAITING = 3
    }
}
