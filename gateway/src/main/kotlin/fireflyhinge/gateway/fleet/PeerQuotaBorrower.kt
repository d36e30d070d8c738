package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.VmRecord
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.slf4j.LoggerFactory
import java.io.IOException

/** Borrows tokens from other VMs. A loan whose answer is lost is lost, so no token is used twice. */
internal class PeerQuotaBorrower(
    private val fleet: FleetView,
    private val domains: FailureDomains,
    private val peers: PeerClient,
) : QuotaBorrower {
    private val log = LoggerFactory.getLogger(javaClass)

    /** Borrows [tokens] from one near holder of the limit, and what that one lacks from more of them at a time. */
    override suspend fun borrow(workspace: String, tokens: Double): Double {
        val lenders = holders(workspace)
        var borrowed = 0.0
        var asked = 0
        for (size in LENDERS_AT_A_TIME) {
            if (borrowed >= tokens) break
            borrowed += ask(lenders.drop(asked).take(size), workspace, tokens - borrowed)
            asked += size
        }
        return borrowed
    }

    /** Gives [tokens] that nobody here needs to a near holder of the limit; they are lost if it does not get them. */
    override suspend fun repay(workspace: String, tokens: Double) {
        val near = holders(workspace).firstOrNull()
        if (near == null) return log.atInfo().addKeyValue("workspace", workspace).log("no VM to give tokens back to")
        try {
            peers.post(near.control, REPAY_PATH, PeerMessages.encodeLoan(workspace, tokens), ANSWER_MILLIS)
        } catch (e: IOException) {
            log.atInfo().addKeyValue("vm", near.name).addKeyValue("reason", e.message).log("tokens were not given back")
        }
    }

    /** VMs that hold parts of the limit and run, nearest first. */
    private fun holders(workspace: String): List<VmRecord> {
        val names = fleet.quotaHolders(workspace).toSet()
        return fleet.live().filter { it.name in names }.shuffled().sortedBy { domains.distance(it.failureDomain) }
    }

    private suspend fun ask(lenders: List<VmRecord>, workspace: String, tokens: Double): Double =
        coroutineScope { lenders.map { async { lend(it, workspace, tokens) } }.awaitAll().sum() }

    private suspend fun lend(vm: VmRecord, workspace: String, tokens: Double): Double =
        try {
            val body = PeerMessages.encodeLoan(workspace, tokens)
            PeerMessages.loan(peers.post(vm.control, PATH, body, ANSWER_MILLIS)).second
        } catch (e: IOException) {
            log.atInfo().addKeyValue("vm", vm.name).addKeyValue("reason", e.message).log("a loan was not answered")
            0.0
        }

    companion object {
        /** Paths of the control interface. */
        const val PATH = "/peer/v1/borrow"
        const val REPAY_PATH = "/peer/v1/repay"

        /** Mostly one VM has enough. The number grows, so that three round trips ask all eight. */
        private val LENDERS_AT_A_TIME = listOf(1, 2, 5)

        /** Twice the round trip between regions. */
        private const val ANSWER_MILLIS = 150L
    }
}
