package fireflyhinge.schedule

import fireflyhinge.config.Priority
import fireflyhinge.peer.PlaceRequest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

class RandomizedCellTest {
    /** Requests per second that a saturated pool places, not counting those that first fill the empty pool. */
    private fun capacity(seed: Int): Double {
        val pool = VirtualPool(seed)
        val load = (1..4).associate { "w$it" to 20.0 }
        pool.run(10_000, load)
        val filled = pool.placed.size
        pool.run(40_000, load)
        return (pool.placed.size - filled) / 40.0
    }

    /**
     * Guards under overload against overcommitted slots, too many suspects on a replica, requests that are both refused
     * and placed, and batch requests that are refused, lost or starved.
     */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3])
    fun overloadKeepsTheLimits(seed: Int) {
        val pool = VirtualPool(seed)
        val load = mapOf("a" to 20.0, "b" to 20.0, "batch" to 10.0)
        pool.run(30_000, load) { it.copy(crashes = CRASH_COUNTS[it.promptTokens % CRASH_COUNTS.size]) }
        val early = pool.placed.values.filter { it.priority == Priority.BATCH }
        val share = early.sumOf { it.cost() } / pool.placed.values.sumOf { it.cost() }
        assertTrue(share >= 0.08, "batch got $share of the tokens")
        pool.run(60_000)
        assertEquals(emptyList<String>(), pool.violations)
        assertEquals(emptySet<String>(), pool.placed.keys intersect pool.refused.keys)
        assertTrue(pool.refused.values.none { it.priority == Priority.BATCH })
        assertTrue(pool.refused.isNotEmpty(), "the load was no overload")
        assertTrue(pool.running.isEmpty())
    }

    /** Guards against a workspace at five times its share that takes placements from the others (target 0.98). */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6])
    fun aFloodingWorkspaceDoesNotHarmTheOthers(seed: Int) {
        val share = 0.9 * capacity(seed) / 4
        val others = listOf("a", "b", "c").associateWith { share }
        val alone = VirtualPool(seed).apply { run(300_000, others) }
        val flooded = VirtualPool(seed).apply { run(300_000, others + ("flood" to 5 * share)) }
        others.keys.forEach { name ->
            val (before, after) = listOf(alone, flooded).map { p -> p.placed.values.count { it.workspace == name } }
            assertTrue(after >= 0.98 * before, "$name: $after of $before placed")
            // The late class takes 5 % of the pool, so shares that are nearly used up become scarce in bursts.
            val (early, kept) = listOf(alone, flooded).map { p -> p.onTime.keys.count { it.startsWith("$name-") } }
            assertTrue(kept >= 0.97 * early, "$name: $kept of $early on time")
        }
        assertTrue(flooded.refused.values.any { it.workspace == "flood" }, "the flood was no overload")
        assertEquals(emptyList<String>(), alone.violations + flooded.violations)
    }

    /** Guards against a new owner that cancels live requests or assigns their slots to other requests. */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3])
    fun aTakeoverKeepsLiveRequestsAndSlots(seed: Int) {
        val pool = VirtualPool(seed)
        val load = mapOf("a" to 20.0, "batch" to 5.0)
        repeat(4) { round ->
            pool.run(8_000 + 130L * round, load)
            pool.stopOwner()
            // Even rounds hand over without a gap; odd rounds wait for a promise to expire.
            pool.run(if (round % 2 == 0) 0 else 4_040, load)
            pool.takeover()
        }
        pool.run(60_000)
        assertEquals(emptyList<String>(), pool.violations)
        assertTrue(pool.running.isEmpty())
    }

    /** A request that is refused when it can no longer be on time, as without a late class. */
    private fun neverLate(request: PlaceRequest) = request.copy(maxWaitMillis = 1_000)

    /**
     * Guards against a backlog that delays newer requests after a pause of 4 s, and against the refusal of a backlog
     * that the pool can serve within 10 s.
     */
    @ParameterizedTest
    @CsvSource("1, 0.9", "2, 0.9", "3, 0.9", "1, 0.5", "2, 0.5", "3, 0.5")
    fun aBacklogCostsOnlyItsShare(seed: Int, part: Double) {
        val load = (1..4).associate { "w$it" to part * capacity(seed) / 4 }
        val (pool, reference) =
            listOf<(PlaceRequest) -> PlaceRequest>({ it }, ::neverLate).map { change ->
                VirtualPool(seed).apply {
                    run(20_000, load, change)
                    stopOwner()
                    run(4_000, load, change)
                    takeover()
                    run(60_000, load, change)
                }
            }
        // The new owner places nothing for 1.2 s after the takeover at 24 s.
        val (onTime, expected) = listOf(pool, reference).map { p -> p.onTime.values.count { it > 25_200 } }
        assertTrue(onTime >= 0.99 * expected, "$onTime on time, $expected without the late class")
        assertTrue(pool.late.size > 20, "only ${pool.late.size} were served late")
        if (part < 0.6) assertEquals(emptySet<String>(), pool.refused.keys)
        assertEquals(emptyList<String>(), pool.violations)
    }

    /** Guards against a late class that takes more than its minimum weight from on-time requests under overload. */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3])
    fun underOverloadTheLateClassTakesItsMinimum(seed: Int) {
        val load = (1..4).associate { "w$it" to 1.5 * capacity(seed) / 4 }
        val pool = VirtualPool(seed).apply { run(120_000, load) }
        val reference = VirtualPool(seed).apply { run(120_000, load, ::neverLate) }
        val share = pool.late.values.sumOf { it.cost() } / pool.placed.values.sumOf { it.cost() }
        assertTrue(share in 0.04..0.06, "the late class got $share of the tokens")
        assertTrue(pool.onTime.size >= 0.94 * reference.onTime.size, "${pool.onTime.size} of ${reference.onTime.size}")
        assertEquals(emptyList<String>(), pool.violations)
    }

    private companion object {
        /** Crashes of ten successive prompts: two light suspects and a strong one. */
        val CRASH_COUNTS = listOf(2, 1, 1, 0, 0, 0, 0, 0, 0, 0)
    }
}
