package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class ColdReplicasTest {
    private val clock = ManualClock()
    private var wallMillis = 1_000_000_000L
    private val table = ReplicaTable(clock) { wallMillis }
    private val budget = ColdBudget("vm", ColdBounds(), clock)
    private var rule = ForwardService("s", coldStartMillis = 20_000, coldPerSecond = 4.0)
    private val cold = ColdReplicas(table, budget) { rule }
    private val selector =
        ReplicaSelector(table, FailureDomains("north", mapOf("north" to "r1")), { 1_000 }, Random(1), cold)

    private fun replica(id: String, stage: ReplicaStage = ReplicaStage.PLAIN, born: Long = 0, left: Long? = null) =
        Replica(id, "s", "$id:1", "north", stage, slots = 4, startedAt = born, coldLeftMillis = left)

    private fun state(id: String) = table.all.first { it.replica.id == id }

    private fun advance(millis: Long) {
        repeat((millis / STEP).toInt()) {
            clock.advance(STEP)
            budget.update(emptyList())
        }
    }

    private fun makeUsable() {
        budget.update(emptyList())
        advance(ColdBudget.HOLD_OFF_MILLIS)
    }

    /** Guards against a cold replica that counts as warm, whichever way its state is known, and the reverse. */
    @Test
    fun aReplicaIsColdAsLongAsItsEntryItsStartOrItsResponsesSay() {
        val started = wallMillis - 5_000
        val entries =
            listOf(
                replica("entry", left = 3_000),
                replica("start", born = started),
                replica("ahead", born = wallMillis + 60_000),
                replica("warmStart", born = started, left = 0),
                replica("old", born = wallMillis - 60_000),
                replica("unknown"),
            )
        table.replace(entries)
        fun coldOnes() = table.all.filter(cold::isCold).map { it.replica.id }
        assertEquals(listOf("entry", "start", "ahead"), coldOnes())
        clock.advance(2_500)
        table.replace(entries)
        clock.advance(600)
        assertEquals(listOf("start", "ahead"), coldOnes(), "an entry that is listed again states nothing new")
        clock.advance(12_000)
        assertEquals(listOf("ahead"), coldOnes())
        clock.advance(5_000)
        assertEquals(emptyList<String>(), coldOnes())
        assertTrue(state("old").warmth.recordCold(1_000), "it becomes cold again")
        assertFalse(state("old").warmth.recordCold(200))
        clock.advance(500)
        assertEquals(listOf("old"), coldOnes(), "a late response does not end it")
        table.replace(entries.drop(1) + replica("entry", left = 2_000))
        clock.advance(600)
        assertEquals(listOf("entry"), coldOnes(), "the entry was written again")
        clock.advance(2_000)
        assertEquals(table.size, table.markCold("north"))
        clock.advance(19_900)
        assertEquals(table.size, coldOnes().size)
        clock.advance(200)
        assertEquals(0, coldOnes().size)
    }

    /** Guards against a bound on services whose configuration has none. */
    @Test
    fun withoutARateNothingIsColdOrCostsMore() {
        rule = ForwardService("s", coldStartMillis = 20_000)
        table.replace(listOf(replica("r", born = wallMillis, left = 5_000)))
        assertTrue(cold.permits(state("r")))
        assertTrue(cold.tryAcquire(state("r"), claimed = false))
        assertEquals(0.0, cold.cost(state("r")))
        assertNull(cold.waitMillis("s", ReplicaStage.PLAIN))
    }

    /** Guards against sends to cold replicas without budget, and to cold ones while warm ones have capacity. */
    @Test
    fun warmReplicasComeFirstAndColdOnesNeedBudget() {
        table.replace(listOf(replica("warm"), replica("cold", left = 60_000)))
        repeat(20) { assertEquals("warm", selector.select("s", ReplicaStage.PLAIN)?.replica?.id) }
        assertNull(selector.select("s", ReplicaStage.PLAIN, avoid = setOf("warm")), "this VM is new")
        makeUsable()
        repeat(6) { state("warm").requestStarted(0) }
        assertEquals("cold", selector.select("s", ReplicaStage.PLAIN)?.replica?.id, "the warm one is overloaded")
        assertTrue(cold.tryAcquire(state("cold"), claimed = false))
        assertEquals("warm", selector.select("s", ReplicaStage.PLAIN)?.replica?.id)
        val wait = cold.waitMillis("s", ReplicaStage.PLAIN)
        assertTrue(wait in 1L..1_000L, "$wait")
        assertNull(cold.waitMillis("s", ReplicaStage.PLAIN, avoid = setOf("cold")))
    }

    /** Guards against a prompt that stalls a decode replica because the prefill replicas are cold. */
    @Test
    fun noDecodeReplicaIsChosenWhileItsPrefillReplicasAreColdWithoutBudget() {
        table.replace(listOf(replica("d", ReplicaStage.DECODE)))
        assertEquals("d", selector.selectWithCapacity("s", 10, emptySet())?.replica?.id, "there is no prefill replica")
        table.replace(listOf(replica("d", ReplicaStage.DECODE), replica("p", ReplicaStage.PREFILL, left = 60_000)))
        assertNull(selector.selectWithCapacity("s", 10, emptySet()))
        makeUsable()
        assertEquals("d", selector.selectWithCapacity("s", 10, emptySet())?.replica?.id)
    }

    /** Guards against a replica that has just started and gets as many requests as the others. */
    @Test
    fun aReplicaThatHasJustStartedCostsMoreForSomeSeconds() {
        rule = ForwardService("s", coldPerSecond = 4.0)
        table.replace(listOf(replica("r", born = wallMillis)))
        assertFalse(cold.isCold(state("r")))
        val first = cold.cost(state("r"))
        advance(2_000)
        assertTrue(cold.cost(state("r")) in 0.01..first * 0.8)
        advance(4_000)
        assertEquals(0.0, cold.cost(state("r")))
    }

    private companion object {
        const val STEP = 250L
    }
}
