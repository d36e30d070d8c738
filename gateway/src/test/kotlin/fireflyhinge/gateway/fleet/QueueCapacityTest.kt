package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.Replica
import fireflyhinge.forward.ReplicaSelector
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaTable
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class QueueCapacityTest {
    private val table = ReplicaTable()
    private val domains = FailureDomains("a", mapOf("a" to "east", "b" to "west"))
    private val capacity = QueueCapacity(table, ReplicaSelector(table, domains, { 72_605 }), domains) { 72_605 }

    private fun list(count: Int, domain: String) =
        table.replace((1..count).map { Replica("i$it", "s", "h:1", domain, ReplicaStage.DECODE, slots = 12) })

    /** Guards against replicas that no queue offers, or two, and against one owner with too much work. */
    @Test
    fun eachReplicaHasOneQueue() {
        listOf(1 to 1, 24 to 1, 70 to 2, 350 to 11).forEach { (replicas, parts) ->
            list(replicas, "a")
            val queues = (0 until parts).map { QueueName("s", "east", it, parts) }
            assertEquals(parts, capacity.queueFrom("s", "east")?.parts)
            val offered = queues.flatMap(capacity::replicas)
            assertEquals(replicas, offered.toSet().size)
            assertEquals(replicas, offered.size)
            assertTrue(queues.all { capacity.replicas(it).size <= 60 }) { "${queues.map(capacity::replicas)}" }
            table.usable("s", ReplicaStage.DECODE).forEach {
                assertTrue(it.replica.id in capacity.replicas(capacity.queueOf(it)))
            }
        }
    }

    /** Guards against requests of a region without replicas that cannot wait. */
    @Test
    fun regionWithoutReplicasUsesTheQueueOfAnother() {
        assertEquals(null, capacity.queueFrom("s", "east"))
        list(3, "b")
        assertEquals(QueueName("s", "west"), capacity.queueFrom("s", "east"))
    }

    /** Guards against shares by number of requests where memory is what is scarce. */
    @Test
    fun costIsTheLargerOfSlotAndMemory() {
        list(1, "a")
        val queue = QueueName("s", "east")
        assertEquals(1.0, capacity.cost(queue, tokens = 100))
        assertEquals(2.0, capacity.cost(queue, tokens = 72_605 / 6), 0.01)
    }
}
