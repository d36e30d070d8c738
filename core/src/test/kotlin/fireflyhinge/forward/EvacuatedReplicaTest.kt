package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class EvacuatedReplicaTest {
    private val clock = ManualClock()
    private val table = ReplicaTable(clock)
    private val domains = FailureDomains("north", mapOf("north" to "r1", "south" to "r1", "west" to "r2"))
    private val selector = ReplicaSelector(table, domains, { MEMORY }, Random(1))

    private fun replica(id: String, domain: String, leaving: Boolean = false) =
        Replica(id, "s", "$id:1", domain, ReplicaStage.DECODE, slots = 4, leaving = leaving)

    private fun usable() = table.usable("s", ReplicaStage.DECODE).map { it.replica.id }.toSet()

    /** Guards against choosing a replica of an evacuated domain as a last resort, and against using it too late. */
    @Test
    fun replicasOfEvacuatedDomainAreNotOffered() {
        table.replace(listOf(replica("a", "north"), replica("b", "south")))
        val left = table.usable("s", ReplicaStage.DECODE).first { it.replica.id == "a" }
        val other = table.usable("s", ReplicaStage.DECODE).first { it.replica.id == "b" }
        table.evacuatedDomains = setOf("north", "unknown")
        other.recordNoResponse()
        other.full = true
        assertEquals(setOf("b"), usable())
        assertFalse(table.usable(left))
        assertEquals("b", selector.select("s", ReplicaStage.DECODE)?.replica?.id, "it is unresponsive and full")
        assertNull(selector.select("s", ReplicaStage.DECODE, avoid = setOf("b")))
        assertNull(selector.selectWithCapacity("s", 1, setOf("b")))
        table.replace(listOf(replica("b", "south")))
        assertTrue(left.evacuated, "its entry is gone, but a request may hold a reservation there")
        table.replace(listOf(replica("a", "north"), replica("b", "south")))
        assertEquals(setOf("b"), usable(), "its entry is back")
        table.evacuatedDomains = emptySet()
        assertTrue(table.usable(left))
        assertEquals(setOf("a", "b"), usable())
    }

    /** Guards against a wait for the end of a pause at a replica that gets no requests then either. */
    @Test
    fun pauseOfEvacuatedReplicaIsNoReasonToComeBack() {
        table.replace(listOf(replica("a", "north"), replica("b", "south")))
        table.usable("s", ReplicaStage.DECODE).forEach { state ->
            state.availability.requestBackoff(if (state.replica.id == "a") 1_000 else 5_000)
        }
        assertEquals(1_000, table.backoffMillis("s", ReplicaStage.DECODE))
        table.evacuatedDomains = setOf("north")
        assertEquals(5_000, table.backoffMillis("s", ReplicaStage.DECODE))
    }

    private class Case(val what: String, val replicas: List<Replica>, val evacuated: Set<String>, val all: Boolean)

    /** Guards against refusing requests that a replica could serve, and holding those that none may get. */
    @Test
    fun evacuationOfAllReplicasIsKnown() {
        val north = replica("a", "north")
        val south = replica("b", "south")
        listOf(
            Case("no replica is listed", emptyList(), setOf("north"), all = false),
            Case("no domain is evacuated", listOf(north), emptySet(), all = false),
            Case("the only replica", listOf(north), setOf("north"), all = true),
            Case("one of two domains", listOf(north, south), setOf("north"), all = false),
            Case("both domains", listOf(north, south), setOf("north", "south"), all = true),
            Case("the other one leaves", listOf(north, south.copy(leaving = true)), setOf("north"), all = true),
            Case("the only one leaves", listOf(north.copy(leaving = true)), setOf("north"), all = false),
        ).forEach { case ->
            table.replace(case.replicas)
            table.evacuatedDomains = case.evacuated
            assertEquals(case.all, table.allEvacuated("s", ReplicaStage.DECODE), case.what)
        }
    }

    private companion object {
        const val MEMORY = 50_000
    }
}
