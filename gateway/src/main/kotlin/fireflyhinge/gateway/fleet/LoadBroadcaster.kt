package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.http.ConnectFailed
import fireflyhinge.gateway.repeatForever
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Tells near VMs at once when requests of this VM begin or end at decode replicas. Exchanges are too slow for that: in
 * a burst, VMs that do not hear of each other's requests fill a replica's memory twice.
 */
internal class LoadBroadcaster(
    private val scope: CoroutineScope,
    private val news: FleetUpdates,
    private val domains: FailureDomains,
    private val peers: PeerClient,
    private val table: ReplicaTable,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private var told = emptyMap<String, Long>()

    /** Tells others of changes until cancelled. */
    suspend fun run() {
        repeatForever(log, "telling load") {
            delay(GATHER_MILLIS)
            val held = table.heldTokens()
            if (held != told) {
                told = held
                news.beat()
                tell(news.fleet.self)
            }
        }
    }

    private fun tell(record: VmRecord) {
        val body = PeerMessages.encode(PeerStateMessage(listOf(record), emptyMap()))
        val count = if (news.fleet.exchangeIntervalFactor > 1) TOLD_IN_LARGE_FLEETS else MOST_TOLD
        val near = news.fleet.live().shuffled().sortedBy { domains.distance(it.failureDomain) }.take(count)
        near.forEach { vm -> scope.launch { send(vm, body) } }
    }

    private suspend fun send(vm: VmRecord, body: ByteArray) {
        try {
            peers.post(vm.control, PATH, body)
        } catch (e: ConnectFailed) {
            if (e.refused) news.fleet.connectionRefused(vm.name)
            log.debug("VM {} was not told: {}", vm.name, e.message)
        } catch (e: IOException) {
            log.debug("VM {} was not told: {}", vm.name, e.message)
        }
    }

    companion object {
        /** Path of the control interface. */
        const val PATH = "/peer/v1/record"

        /** Requests begin some ten times a second in a region; several are told at once. */
        private const val GATHER_MILLIS = 40L

        /** All others in a small fleet. */
        private const val MOST_TOLD = 8

        /** A third of a failure domain; the others hear of it by exchange, and replicas confirm their places. */
        private const val TOLD_IN_LARGE_FLEETS = 4
    }
}
