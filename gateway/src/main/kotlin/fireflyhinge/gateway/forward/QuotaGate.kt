package fireflyhinge.gateway.forward

import fireflyhinge.forward.ForwardWorkspace
import fireflyhinge.forward.QuotaShares
import fireflyhinge.gateway.fleet.QuotaLender
import fireflyhinge.gateway.http.nowMillis
import java.util.concurrent.ConcurrentHashMap

/** Charges requests to their workspace: from this VM's share, else with tokens that another VM lends. */
internal class QuotaGate(private val shares: QuotaShares, private val lender: QuotaLender) {
    private val nextAsk = ConcurrentHashMap<String, Long>()

    /** Takes [tokens] of [workspace]; null if granted, else the milliseconds after which a try may succeed. */
    suspend fun charge(workspace: ForwardWorkspace, tokens: Double): Long? {
        if (shares.take(workspace, tokens)) return null
        val now = nowMillis()
        if (now >= (nextAsk[workspace.name] ?: 0)) {
            val lent = lender.borrow(workspace.name, tokens)
            if (lent > 0) {
                shares.add(workspace, lent)
                if (shares.take(workspace, tokens)) return null
            } else {
                nextAsk[workspace.name] = now + ASK_PAUSE_MILLIS
            }
        }
        return shares.waitFor(workspace, tokens)
    }

    /** Gives back [tokens] of a request that no replica got. */
    fun giveBack(workspace: ForwardWorkspace, tokens: Double) = shares.add(workspace, tokens)

    private companion object {
        /** A workspace beyond its limit asks other VMs this often, not with each request. */
        const val ASK_PAUSE_MILLIS = 250L
    }
}
