package fireflyhinge.gateway.fleet

import com.fasterxml.jackson.databind.ObjectMapper
import fireflyhinge.forward.DownVms
import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.QuotaHolders
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.http.ConnectFailedException
import fireflyhinge.gateway.http.monotonicMillis
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.slf4j.LoggerFactory
import java.io.IOException

/** Borrows tokens from other VMs. If the response is lost, so are its tokens; thus no token is spent twice. */
internal class PeerQuotaBorrower(
    private val fleet: FleetView,
    private val holders: QuotaHolders,
    private val down: DownVms,
    private val domains: FailureDomains,
    private val peers: PeerClient,
    private val metrics: QuotaMetrics,
) : QuotaBorrower {
    /** One call of [borrow]; [spares] are VMs that take the place of holders that are down. */
    private class Search(val workspace: String, val spares: ArrayDeque<VmRecord>, var complete: Boolean)

    private val mapper = ObjectMapper()
    private val log = LoggerFactory.getLogger(javaClass)

    /** Asks the nearest holder of the limit for [tokens], then growing groups of holders for the remainder. */
    override suspend fun borrow(workspace: String, tokens: Double): Loan {
        val count = holders.lenderCount(workspace)
        val live = fleet.live().mapTo(HashSet()) { it.name }
        val all = holders.lenders(workspace)
        val first = all.take(count)
        val lenders =
            first.filter { it.name in live }.shuffled().sortedBy { domains.distance(it.failureDomain) }
        val spares = ArrayDeque(all.drop(count).filter { it.name in live }.take(MAX_SPARES))
        val search = Search(workspace, spares, complete = first.size == count && lenders.size == count)
        var borrowed = 0.0
        var asked = 0
        for (size in GROUP_SIZES) {
            if (borrowed >= tokens) break
            borrowed += ask(lenders.drop(asked).take(size), search, tokens - borrowed)
            asked += size
        }
        return Loan(borrowed, search.complete)
    }

    /** Returns surplus [tokens] to the nearest holder of the limit; they are lost if the call fails. */
    override suspend fun repay(workspace: String, tokens: Double) {
        val live = fleet.live().mapTo(HashSet()) { it.name }
        val lenders = holders.lenders(workspace).filter { it.name in live }.take(holders.lenderCount(workspace))
        val near = lenders.shuffled().minByOrNull { domains.distance(it.failureDomain) }
        if (near == null) {
            log.atInfo().addKeyValue("workspace", workspace).log("no live VM holds a share; surplus tokens are dropped")
            return
        }
        val began = monotonicMillis()
        try {
            peers.post(near.control, REPAY_PATH, PeerMessages.encodeLoan(workspace, tokens), timeoutMillis(near))
        } catch (e: ConnectFailedException) {
            if (e.refused) down.refused(near.name, began)
            notReturned(near, e)
        } catch (e: IOException) {
            notReturned(near, e)
        }
    }

    private fun notReturned(vm: VmRecord, cause: IOException) =
        log.atInfo().addKeyValue("vm", vm.name).addKeyValue("reason", cause.message)
            .log("returning surplus tokens failed")

    private suspend fun ask(lenders: List<VmRecord>, search: Search, tokens: Double): Double =
        coroutineScope { lenders.map { async { lend(it, search, tokens) } }.awaitAll().sum() }

    /** Asks [lender], and the next VMs in the order at once while a connection is refused. */
    private suspend fun lend(lender: VmRecord, search: Search, tokens: Double): Double {
        var vm = lender
        while (true) {
            val began = monotonicMillis()
            try {
                val body = PeerMessages.encodeLoan(search.workspace, tokens)
                val answer = peers.post(vm.control, PATH, body, timeoutMillis(vm))
                val lent = PeerMessages.loan(answer).second
                if (mapper.readTree(answer).path("young").asBoolean()) search.complete = false
                metrics.loan(if (lent > 0) QuotaMetrics.GRANTED else QuotaMetrics.EMPTY)
                return lent
            } catch (e: ConnectFailedException) {
                failed(vm, e)
                if (!e.refused) return incomplete(search)
                down.refused(vm.name, began)
                vm = search.spares.removeFirstOrNull() ?: return incomplete(search)
            } catch (e: IOException) {
                failed(vm, e)
                return incomplete(search)
            }
        }
    }

    private fun incomplete(search: Search): Double {
        search.complete = false
        return 0.0
    }

    private fun failed(vm: VmRecord, cause: IOException) {
        val refused = cause is ConnectFailedException && cause.refused
        metrics.loan(if (refused) QuotaMetrics.REFUSED else QuotaMetrics.UNANSWERED)
        log.atInfo().addKeyValue("vm", vm.name).addKeyValue("reason", cause.message).log("a loan was not answered")
    }

    /** Time for a new connection and the call, on the path between the regions if the VM is in another one. */
    private fun timeoutMillis(vm: VmRecord): Long = WORK_MILLIS + 2 * domains.roundTripMillis(vm.failureDomain)

    companion object {
        /** Paths of the control interface. */
        const val PATH = "/peer/v1/borrow"
        const val REPAY_PATH = "/peer/v1/repay"

        /** Usually one VM has enough. The groups grow, so that three round trips reach all eight VMs. */
        private val GROUP_SIZES = listOf(1, 2, 5)

        /** VMs asked beyond the holders while those refuse connections; a refusal takes about a millisecond. */
        private const val MAX_SPARES = 24

        /** Work and pauses of a small VM; the limit of all loans before the path was added to it. */
        private const val WORK_MILLIS = 150L
    }
}
