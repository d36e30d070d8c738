package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class ReplicaSelectorTest {
    private val clock = ManualClock()
    private val table = ReplicaTable(clock)
    private val domains = FailureDomains("north", mapOf("north" to "r1", "south" to "r1", "west" to "r2"))
    private val selector = ReplicaSelector(table, domains, { MEMORY }, Random(1))

    private fun replica(id: String, domain: String, stage: ReplicaStage, leaving: Boolean = false) =
        Replica(id, "s", "$id:1", domain, stage, slots = 4, leaving = leaving)

    private fun state(id: String) = table.usable("s", ReplicaStage.DECODE).first { it.replica.id == id }

    /** Guards against selecting replicas that are draining, unresponsive, already tried or in another region. */
    @Test
    fun unusableReplicasAreLeftOut() {
        table.replace(
            listOf(
                replica("near", "north", ReplicaStage.DECODE),
                replica("silent", "north", ReplicaStage.DECODE),
                replica("leaving", "north", ReplicaStage.DECODE, leaving = true),
                replica("far", "west", ReplicaStage.DECODE),
            ),
        )
        state("silent").recordNoResponse()
        assertTrue((1..50).all { selector.select("s", ReplicaStage.DECODE)?.replica?.id == "near" })
        assertEquals("far", selector.select("s", ReplicaStage.DECODE, avoid = setOf("near"))?.replica?.id)
        val own = selector.select("s", ReplicaStage.DECODE, avoid = setOf("near"), near = "north")
        assertEquals("silent", own?.replica?.id, "a silent replica is better than one in another region")
    }

    /** Guards against a prefill for a replica whose KV cache is filled by other VMs. */
    @Test
    fun selectionRequiresCapacityBesideTokensOfAllVms() {
        table.replace(listOf(replica("d", "north", ReplicaStage.DECODE)))
        state("d").requestStarted(20_000)
        table.setRemoteTokens(mapOf("d" to 20_000))
        assertEquals("d", selector.selectWithCapacity("s", FREE, emptySet())?.replica?.id)
        assertNull(selector.selectWithCapacity("s", FREE + 1, emptySet()))
        val resumed = selector.selectWithCapacity("s", FREE + 1, emptySet(), resumed = true)
        assertEquals("d", resumed?.replica?.id, "an answer that has begun")
        state("d").requestEnded(20_000)
        assertEquals("d", selector.selectWithCapacity("s", FREE + 20_000, emptySet())?.replica?.id)
    }

    /**
     * Load: one region has one prefill replica, which falls behind, while its decode replicas stay idle because no
     * prompts are prefilled for them. Guards against idle slots there that attract the requests of both regions.
     */
    @Test
    fun emptyDecodeReplicasBesideASlowPrefillReplicaAttractNoRequests() {
        table.replace(
            listOf(
                replica("p-west", "west", ReplicaStage.PREFILL),
                replica("d-west", "west", ReplicaStage.DECODE),
                replica("p-north", "north", ReplicaStage.PREFILL),
                replica("d-north", "north", ReplicaStage.DECODE),
            ),
        )
        state("d-north").requestStarted(40_000)
        val slow = table.usable("s", ReplicaStage.PREFILL).first { it.replica.id == "p-west" }
        repeat(5) { slow.recordPrefill(tokens = 5_000, elapsedMillis = 800) }
        assertTrue((1..50).all { selector.selectWithCapacity("s", 5_000, emptySet())?.replica?.id == "d-north" })
        clock.advance(10_000)
        assertEquals("d-west", selector.selectWithCapacity("s", 5_000, emptySet())?.replica?.id, "the queue has ended")
    }

    /** Guards against applying a replica's state to a new process with the same id. */
    @Test
    fun restartedReplicaGetsNewState() {
        val before = replica("d", "north", ReplicaStage.DECODE)
        table.replace(listOf(before))
        state("d").recordNoResponse()
        table.replace(listOf(before.copy(slots = 8)))
        assertTrue(state("d").unresponsive, "the same process with another description")
        table.replace(listOf(before.copy(startedAt = 5)))
        assertTrue(!state("d").unresponsive, "a new process")
    }

    private companion object {
        const val MEMORY = 50_000

        /** 90% of the memory minus the 40,000 tokens in use. */
        const val FREE = 5_000
    }
}
