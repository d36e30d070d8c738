package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.ReplicaSelector
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaState
import fireflyhinge.forward.ReplicaTable
import kotlin.random.Random

/** The decode replicas whose capacity a queue offers. [memoryOf] returns the KV cache capacity of a service. */
internal class QueueCapacity(
    private val table: ReplicaTable,
    private val selector: ReplicaSelector,
    private val domains: FailureDomains,
    private val memoryOf: (String) -> Int,
) {
    /** Ids of the replicas of [queue] that accept requests, those with the lowest known load first. */
    fun replicas(queue: QueueName): List<String> =
        usable(queue).filterNot { it.unresponsive }.sortedBy { selector.load(queue.service, it) }
            .map { it.replica.id }

    /**
     * A queue for requests for [service] of VMs in [region]: one of that region, unless it has no replica. Null if no
     * replica accepts requests.
     */
    fun queueFrom(service: String, region: String): QueueName? {
        val regions = table.usable(service, ReplicaStage.DECODE).map(::regionOf)
        val used = if (region in regions) region else regions.minOrNull() ?: return null
        val parts = parts(service, used)
        return QueueName(service, used, Random.nextInt(parts), parts)
    }

    /** The queue that offers the capacity of the replica of [state]. */
    fun queueOf(state: ReplicaState): QueueName {
        val service = state.replica.service
        val parts = parts(service, regionOf(state))
        return QueueName(service, regionOf(state), QueueName.partOf(state.replica.id, parts), parts)
    }

    private fun parts(service: String, region: String): Int {
        val replicas = table.usable(service, ReplicaStage.DECODE).count { regionOf(it) == region }
        return maxOf(1, (replicas + REPLICAS_PER_QUEUE / 2) / REPLICAS_PER_QUEUE)
    }

    private fun regionOf(state: ReplicaState) = domains.regionOf(state.replica.failureDomain)

    /** The part of a replica that a request of [tokens] occupies, in slots. */
    fun cost(queue: QueueName, tokens: Int): Double {
        val slots = usable(queue).maxOfOrNull { it.replica.slots } ?: 1
        val memory = memoryOf(queue.service)
        return if (memory <= 0) 1.0 else maxOf(1.0, tokens.toDouble() * slots / memory)
    }

    private fun usable(queue: QueueName) =
        table.usable(queue.service, ReplicaStage.DECODE)
            .filter { regionOf(it) == queue.region && queue.covers(it.replica.id) }

    private companion object {
        /** An owner with 0.27 of a core serves about this many replicas of 12 slots in a burst. */
        const val REPLICAS_PER_QUEUE = 32
    }
}
