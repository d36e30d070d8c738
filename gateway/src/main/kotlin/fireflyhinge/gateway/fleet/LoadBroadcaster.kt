package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.http.ConnectFailedException
import fireflyhinge.gateway.repeatForever
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Notifies nearby VMs at once when requests of this VM begin or end at decode replicas. Gossip is too slow for that: in
 * a burst, VMs that do not know of each other's requests would fill a replica's memory twice.
 */
internal class LoadBroadcaster(
    private val scope: CoroutineScope,
    private val updates: FleetUpdates,
    private val domains: FailureDomains,
    private val peers: PeerClient,
    private val table: ReplicaTable,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private var lastSent = emptyMap<String, Long>()

    /** Broadcasts changes until cancelled. */
    suspend fun run() {
        repeatForever(log, "telling load") {
            delay(BATCH_MILLIS)
            val held = table.heldTokens()
            if (held != lastSent) {
                lastSent = held
                updates.heartbeat()
                broadcast(updates.fleet.self)
            }
        }
    }

    private fun broadcast(record: VmRecord) {
        val body = PeerMessages.encode(PeerStateMessage(listOf(record), emptyMap()))
        val count = if (updates.fleet.exchangeIntervalFactor > 1) MAX_RECIPIENTS_LARGE_FLEET else MAX_RECIPIENTS
        val near = updates.fleet.live().shuffled().sortedBy { domains.distance(it.failureDomain) }.take(count)
        near.forEach { vm -> scope.launch { send(vm, body) } }
    }

    private suspend fun send(vm: VmRecord, body: ByteArray) {
        try {
            peers.post(vm.control, PATH, body)
        } catch (e: ConnectFailedException) {
            if (e.refused) updates.fleet.connectionRefused(vm.name)
            log.debug("sending load to VM {} failed: {}", vm.name, e.message)
        } catch (e: IOException) {
            log.debug("sending load to VM {} failed: {}", vm.name, e.message)
        }
    }

    companion object {
        /** Path of the control interface. */
        const val PATH = "/peer/v1/record"

        /** Requests begin about ten times a second in a region; several changes are sent in one message. */
        private const val BATCH_MILLIS = 40L

        /** All other VMs of a small fleet. */
        private const val MAX_RECIPIENTS = 8

        /** A third of a failure domain; the others learn of it by gossip, and replicas confirm their reservations. */
        private const val MAX_RECIPIENTS_LARGE_FLEET = 4
    }
}
