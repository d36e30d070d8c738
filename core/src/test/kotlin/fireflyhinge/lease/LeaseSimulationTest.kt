package fireflyhinge.lease

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LeaseSimulationTest {
    private val seeds = 0 until Integer.getInteger("fireflyhinge.seeds", 500)

    private fun run(seed: Int, times: LeaseTimes = LeaseTimes()) = LeaseSimulation(seed, times).run(180 * SECOND)

    /** Guards against two processes that act for one shard, and against quota granted twice around a takeover (P3). */
    @Test
    fun noShardHasTwoActingOwners() {
        val runs = seeds.map { run(it) }
        val broken = runs.withIndex().filter { it.value.violations.isNotEmpty() }
        assertEquals(emptyMap<Int, String>(), broken.associate { it.index to it.value.violations.first() }, "by seed")
        val share = runs.sumOf { it.actingChecks }.toDouble() / runs.sumOf { it.checks }
        println("lease simulation: ${runs.size} runs, shards served $share of the time, ${runs.sumOf { it.used }} uses")
        assertTrue(runs.all { it.used > 0 }, "runs without a charge check nothing")
    }

    /** Guards against rules that are safe only because no process acts: without faults nearly all shards are served. */
    @Test
    fun shardsAreServedWithoutFaults() {
        val runs = (0 until 20).map { LeaseSimulation(it).run(180 * SECOND, calm = 200 * SECOND, from = 12 * SECOND) }
        val share = runs.sumOf { it.actingChecks }.toDouble() / runs.sumOf { it.checks }
        println("lease simulation: without faults, shards served $share of the time")
        assertTrue(share > 0.99, "shards served $share of the time")
    }

    /** Guards against a simulation that cannot fail: without the safety margin of the lease it must find two owners. */
    @Test
    fun leaseLongerThanPromiseIsDetected() {
        val found = seeds.find { run(it, LeaseTimes(ownerFactor = 1.1)).violations.isNotEmpty() }
        println("lease simulation: an owner factor of 1.1 is found by seed $found")
        assertNotNull(found)
    }

    /** Guards against a simulation that does not check floors: floors that are four times too high must be detected. */
    @Test
    fun floorsAboveTheLevelAreDetected() {
        val found = seeds.find { LeaseSimulation(it, floorFactor = 4).run(180 * SECOND).violations.isNotEmpty() }
        println("lease simulation: floors four times too high are found by seed $found")
        assertNotNull(found)
    }
}
