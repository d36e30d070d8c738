package fireflyhinge.gateway.fleet

import fireflyhinge.forward.DownVms
import fireflyhinge.forward.QuotaHolders
import fireflyhinge.forward.QuotaStartCredit
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.http.ConnectFailedException
import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.http.monotonicMillis
import fireflyhinge.gateway.repeatForever
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/** Learns by connection attempts which VMs are down, as far as this VM's shares depend on it. */
internal class QuotaProber(
    private val down: DownVms,
    private val holders: QuotaHolders,
    private val credit: QuotaStartCredit,
    private val connections: ConnectionPool,
    private val workspaces: () -> Collection<String>,
    private val refresh: () -> Unit,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private var held = emptySet<String>()

    /** Probes until cancelled. */
    suspend fun run() {
        repeatForever(log, "probing holders of quota shares") {
            if (holders.listed && credit.fraction() == null) probeStart()
            probe(holders.probes(workspaces())) { vm, refused, began ->
                if (refused == true) down.refused(vm.name, began)
                if (refused == false) down.accepted(vm.name)
            }
            refresh()
            logChanges()
            delay(INTERVAL_MILLIS)
        }
    }

    private suspend fun probeStart() {
        while (true) {
            val targets = credit.probes().ifEmpty { break }
            probe(targets) { vm, refused, began -> credit.probed(vm.name, refused, began) }
        }
        log.atInfo().addKeyValue("credit", credit.fraction()).log("start credit of quota shares decided")
    }

    /** Opens a connection to each of [targets] and passes on whether it was refused, and when the attempt began. */
    private suspend fun probe(targets: List<VmRecord>, result: (VmRecord, Boolean?, Long) -> Unit) =
        coroutineScope {
            targets.map { vm ->
                async {
                    val began = monotonicMillis()
                    result(vm, isRefused(vm), began)
                }
            }.awaitAll()
        }

    /** Whether [vm] refused a connection, or null if it is not known whether it is up. */
    private suspend fun isRefused(vm: VmRecord): Boolean? =
        try {
            withTimeoutOrNull(TIMEOUT_MILLIS) {
                connections.release(connections.acquire(vm.control))
                false
            }
        } catch (e: ConnectFailedException) {
            log.debug("{} could not be probed: {}", vm.name, e.message)
            if (e.refused) true else null
        }

    private fun logChanges() {
        val now = workspaces().filterTo(HashSet()) { holders.part(it) > 0 }
        if (now == held) return
        log.atInfo().addKeyValue("limits", now.sorted()).addKeyValue("held", held.sorted())
            .log("quota shares held by this VM changed")
        held = now
    }

    private companion object {
        /** Several times within [QuotaHolders.DOWN_MILLIS]. */
        const val INTERVAL_MILLIS = 100L

        /** Twice the round trip between regions. */
        const val TIMEOUT_MILLIS = 120L
    }
}
