package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.VmRecord
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.slf4j.LoggerFactory
import java.io.IOException

/** Borrows tokens from other VMs. If the response is lost, so are its tokens; thus no token is spent twice. */
internal class PeerQuotaBorrower(
    private val fleet: FleetView,
    private val domains: FailureDomains,
    private val peers: PeerClient,
) : QuotaBorrower {
    private val log = LoggerFactory.getLogger(javaClass)

    /** Asks the nearest holder of the limit for [tokens], then growing groups of holders for the remainder. */
    override suspend fun borrow(workspace: String, tokens: Double): Double {
        val lenders = holders(workspace)
        var borrowed = 0.0
        var asked = 0
        for (size in GROUP_SIZES) {
            if (borrowed >= tokens) break
            borrowed += ask(lenders.drop(asked).take(size), workspace, tokens - borrowed)
            asked += size
        }
        return borrowed
    }

    /** Returns surplus [tokens] to the nearest holder of the limit; they are lost if the call fails. */
    override suspend fun repay(workspace: String, tokens: Double) {
        val near = holders(workspace).firstOrNull()
        if (near == null) {
            log.atInfo().addKeyValue("workspace", workspace).log("no live VM holds a share; surplus tokens are dropped")
            return
        }
        try {
            peers.post(near.control, REPAY_PATH, PeerMessages.encodeLoan(workspace, tokens), TIMEOUT_MILLIS)
        } catch (e: IOException) {
            log.atInfo().addKeyValue("vm", near.name).addKeyValue("reason", e.message)
                .log("returning surplus tokens failed")
        }
    }

    /** Live VMs that hold shares of the limit, nearest first. */
    private fun holders(workspace: String): List<VmRecord> {
        val names = fleet.quotaHolders(workspace).toSet()
        return fleet.live().filter { it.name in names }.shuffled().sortedBy { domains.distance(it.failureDomain) }
    }

    private suspend fun ask(lenders: List<VmRecord>, workspace: String, tokens: Double): Double =
        coroutineScope { lenders.map { async { lend(it, workspace, tokens) } }.awaitAll().sum() }

    private suspend fun lend(vm: VmRecord, workspace: String, tokens: Double): Double =
        try {
            val body = PeerMessages.encodeLoan(workspace, tokens)
            PeerMessages.loan(peers.post(vm.control, PATH, body, TIMEOUT_MILLIS)).second
        } catch (e: IOException) {
            log.atInfo().addKeyValue("vm", vm.name).addKeyValue("reason", e.message).log("a loan was not answered")
            0.0
        }

    companion object {
        /** Paths of the control interface. */
        const val PATH = "/peer/v1/borrow"
        const val REPAY_PATH = "/peer/v1/repay"

        /** Usually one VM has enough. The groups grow, so that three round trips reach all eight VMs. */
        private val GROUP_SIZES = listOf(1, 2, 5)

        /** Twice the round trip between regions. */
        private const val TIMEOUT_MILLIS = 150L
    }
}
