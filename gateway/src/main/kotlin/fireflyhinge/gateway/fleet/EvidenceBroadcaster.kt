package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CrashEvidence
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.http.ConnectFailedException
import fireflyhinge.gateway.repeatForever
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Tells some random VMs at once what this VM learned about crashes. They tell others what is news to them, so it
 * reaches the fleet within a few hops; exchanges make up for messages that are lost.
 */
internal class EvidenceBroadcaster(
    private val evidence: CrashEvidence,
    private val fleet: FleetView,
    private val peers: PeerClient,
    private val scope: CoroutineScope,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val news = Channel<Unit>(Channel.CONFLATED)
    private var told = 0L

    /** Tells that there is news. */
    fun notifyNews() {
        news.trySend(Unit)
    }

    /** Broadcasts news until cancelled. */
    suspend fun run(): Nothing =
        repeatForever(log, "telling of crashes") {
            news.receive()
            delay(BATCH_MILLIS)
            broadcast()
        }

    private fun broadcast() {
        val from = told
        told = evidence.version
        val report = evidence.changesSince(from)
        if (report.empty) return
        val body = EvidenceCodec.encode(report).toString().toByteArray()
        fleet.live().shuffled().take(RECIPIENTS).forEach { vm -> scope.launch { send(vm, body) } }
    }

    private suspend fun send(vm: VmRecord, body: ByteArray) {
        try {
            peers.post(vm.control, PATH, body)
        } catch (e: ConnectFailedException) {
            if (e.refused) fleet.connectionRefused(vm.name)
            log.debug("telling VM {} of crashes failed: {}", vm.name, e.message)
        } catch (e: IOException) {
            log.debug("telling VM {} of crashes failed: {}", vm.name, e.message)
        }
    }

    companion object {
        /** Path of the control interface. */
        const val PATH = "/peer/v1/evidence"

        /** The requests on a replica break off within milliseconds on all VMs. */
        private const val BATCH_MILLIS = 50L

        /** All but two in a hundred VMs learn of the news without an exchange. */
        private const val RECIPIENTS = 4
    }
}
