package fireflyhinge.gateway.forward

import fireflyhinge.forward.ForwardWorkspace
import fireflyhinge.forward.QuotaShares
import fireflyhinge.gateway.fleet.QuotaBorrower
import fireflyhinge.gateway.http.nowMillis
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Charges requests to their workspace: from this VM's share, else with tokens that another VM lends. */
internal class QuotaCharger(
    private val shares: QuotaShares,
    private val lender: QuotaBorrower,
    private val scope: CoroutineScope,
) {
    private val nextAsk = ConcurrentHashMap<String, Long>()
    private val waiting = ConcurrentHashMap<String, Int>()

    /**
     * Takes [tokens] of [workspace]; null if granted, else the milliseconds after which a try may succeed. A request
     * that lacks tokens waits up to [patienceMillis] for them, unless others wait already.
     */
    suspend fun charge(workspace: ForwardWorkspace, tokens: Double, patienceMillis: Long): Long? {
        if (shares.take(workspace, tokens)) return null
        val name = workspace.name
        val ahead = waiting.getOrDefault(name, 0)
        if (ahead >= MOST_WAITING) return shares.waitMillis(workspace, tokens)
        waiting.merge(name, 1, Int::plus)
        try {
            return borrowed(workspace, tokens, nowMillis() + patienceMillis)
        } finally {
            val others = waiting.merge(name, -1, Int::plus)
            if (others == 0) repay(workspace)
        }
    }

    private suspend fun borrowed(workspace: ForwardWorkspace, tokens: Double, until: Long): Long? {
        while (true) {
            val now = nowMillis()
            if (now >= (nextAsk[workspace.name] ?: 0)) {
                nextAsk[workspace.name] = now + ASK_PAUSE_MILLIS
                shares.add(workspace, lender.borrow(workspace.name, shares.borrowAmount(workspace, tokens)))
            }
            if (shares.take(workspace, tokens)) return null
            if (nowMillis() + ASK_PAUSE_MILLIS > until) return shares.waitMillis(workspace, tokens)
            delay(ASK_PAUSE_MILLIS)
        }
    }

    /** Gives back [tokens] of a request that no replica got. */
    fun giveBack(workspace: ForwardWorkspace, tokens: Double) {
        shares.add(workspace, tokens)
        repay(workspace)
    }

    private fun repay(workspace: ForwardWorkspace) {
        val surplus = shares.takeSurplus(workspace)
        if (surplus > 0) scope.launch { lender.repay(workspace.name, surplus) }
    }

    private companion object {
        /** A workspace beyond its limit asks other VMs this often, not with each request. */
        const val ASK_PAUSE_MILLIS = 80L

        /** Requests of a workspace that wait for tokens at a time; more would not be served within the objective. */
        const val MOST_WAITING = 3
    }
}
