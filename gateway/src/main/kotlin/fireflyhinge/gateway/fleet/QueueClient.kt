package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.ReplicaState
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.http.ConnectFailedException
import fireflyhinge.gateway.http.monotonicMillis
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Calls the owners of the queues. The owner of a queue is the first VM of its region in an order that all VMs with the
 * same view share; one that does not answer is passed over for a while. All calls must come from one thread.
 */
internal class QueueClient(
    private val fleet: FleetView,
    private val domains: FailureDomains,
    private val peers: PeerClient,
    private val own: OwnedQueues,
    private val capacity: QueueCapacity,
    private val scope: CoroutineScope,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val passedOverUntil = HashMap<String, Long>()
    private val contendedUntil = HashMap<String, Long>()
    private val freed = HashMap<QueueName, HashSet<String>>()

    /** Whether requests may wait in queues. Small fleets poll, since their VMs know of each other's load. */
    val enabled: Boolean get() = fleet.exchangeIntervalFactor > 1

    /** Whether requests for [service] of this VM have waited recently, so that a new one should wait its turn too. */
    fun contended(service: String): Boolean = monotonicMillis() < (contendedUntil[service] ?: Long.MIN_VALUE)

    /** A queue for a request of this VM for [service]; null if no replica accepts requests. */
    fun queue(service: String): QueueName? =
        capacity.queueFrom(service, domains.regionOf(fleet.self.failureDomain))

    /** The owner of [queue]; null if no VM of its region is known to answer. */
    fun owner(queue: QueueName): VmRecord? {
        val now = monotonicMillis()
        passedOverUntil.values.removeIf { it <= now }
        val inRegion = { vm: VmRecord -> vm.ready && domains.regionOf(vm.failureDomain) == queue.region }
        return fleet.ordered("queue/$queue", inRegion).firstOrNull { inRegion(it) && it.name !in passedOverUntil }
    }

    /** Sends [call] to [owner]. Returns null if it does not answer in time; it is then passed over for a while. */
    suspend fun call(owner: VmRecord, call: QueueCall): QueueReply? {
        contendedUntil[call.queue.service] = monotonicMillis() + CONTENTION_MILLIS
        if (owner.name == fleet.self.name) return own.await(call)
        val limit = call.holdMillis + RESPONSE_MILLIS + domains.roundTripMillis(owner.failureDomain)
        return try {
            QueueMessages.reply(
                peers.post(owner.control, QueueHandler.WAIT_PATH, QueueMessages.encode(call), limit),
            )
        } catch (e: ConnectFailedException) {
            if (e.refused) fleet.connectionRefused(owner.name)
            passOver(owner, call, e)
        } catch (e: IOException) {
            passOver(owner, call, e)
        }
    }

    private fun passOver(owner: VmRecord, call: QueueCall, cause: IOException): QueueReply? {
        passedOverUntil[owner.name] = monotonicMillis() + PASS_OVER_MILLIS
        log.atInfo().addKeyValue("vm", owner.name).addKeyValue("queue", call.queue.toString())
            .addKeyValue("reason", cause.message).log("the owner of a queue did not answer")
        return null
    }

    /** Tells [owner] that request [id] no longer waits; [taken] if it got capacity. */
    fun end(owner: VmRecord, queue: QueueName, id: String, taken: Boolean) {
        if (owner.name == fleet.self.name) return own.ended(queue, id, taken)
        send(owner, QueueHandler.END_PATH, QueueMessages.encodeEnd(queue, id, taken))
    }

    /** Reports that a request of this VM ended at [state]'s replica; the owner is told only while requests wait. */
    fun released(state: ReplicaState) {
        if (!enabled || !contended(state.replica.service)) return
        val queue = capacity.queueOf(state)
        val batch = freed.getOrPut(queue) { HashSet() }
        batch += state.replica.id
        if (batch.size == 1) scope.launch { reportFreed(queue) }
    }

    private suspend fun reportFreed(queue: QueueName) {
        delay(BATCH_MILLIS)
        val replicas = freed.remove(queue).orEmpty().toList()
        val owner = owner(queue) ?: return
        if (owner.name == fleet.self.name) return own.freed(queue, replicas)
        send(owner, QueueHandler.FREED_PATH, QueueMessages.encodeFreed(queue, replicas))
    }

    /** Sends a message whose loss costs only time. */
    private fun send(owner: VmRecord, path: String, body: ByteArray) {
        scope.launch {
            try {
                peers.post(owner.control, path, body)
            } catch (e: IOException) {
                log.debug("{} to VM {} failed: {}", path, owner.name, e.message)
            }
        }
    }

    private companion object {
        /** Owners answer at once when the time for which they hold a call is over; the path comes on top. */
        const val RESPONSE_MILLIS = 120L

        /** Longer than most freezes, shorter than the time in which other VMs notice that a VM is gone. */
        const val PASS_OVER_MILLIS = 2_000L

        /** About the time between two requests of a VM of a large fleet. */
        const val CONTENTION_MILLIS = 2_000L

        /** Runs that end at the same time are reported together. */
        const val BATCH_MILLIS = 5L
    }
}
