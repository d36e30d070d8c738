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
internal class QuotaLoans(
    private val fleet: FleetView,
    private val domains: FailureDomains,
    private val peers: PeerClient,
) : QuotaLender {
    private val log = LoggerFactory.getLogger(javaClass)

    /** Borrows parts of [tokens] from a few near VMs at a time, then the rest from others. */
    override suspend fun borrow(workspace: String, tokens: Double): Double {
        val holders = fleet.holders(workspace).toSet()
        val live = fleet.live().filter { it.name in holders }
        val lenders = live.shuffled().sortedBy { domains.distance(it.failureDomain) }
        val near = ask(lenders.take(LENDERS_AT_A_TIME), workspace, tokens / 2)
        if (near >= tokens) return near
        return near + ask(lenders.drop(LENDERS_AT_A_TIME).take(LENDERS_AT_A_TIME), workspace, tokens - near)
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
        /** Path of the control interface. */
        const val PATH = "/peer/v1/borrow"

        /** Three VMs at a time: few messages, and one that does not answer costs no more time. */
        private const val LENDERS_AT_A_TIME = 3

        /** Twice the round trip between regions. */
        private const val ANSWER_MILLIS = 150L
    }
}
