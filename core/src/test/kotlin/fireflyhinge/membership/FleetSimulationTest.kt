package fireflyhinge.membership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random

class FleetSimulationTest {
    private val sizes = listOf(8, 32, 64)
    private val seeds = 1..8

    /**
     * Guards against configuration copies that never converge, converge too late (P8: 12 s), or return to older
     * versions while messages are lost.
     */
    @TestFactory
    fun configurationReachesEveryVm(): List<DynamicTest> =
        cases("config") { size, seed ->
            val fleet = joined(size, seed)
            val random = Random(seed)
            (1L..40L).forEach { version ->
                fleet.write(fleet.vms.random(random), version)
                if (version % 4 == 0L) fleet.round()
            }
            val rounds = fleet.roundsUntil { fleet.vms.map { it.copy.digest }.distinct().size == 1 }
            assertTrue(rounds <= 12, "$rounds rounds")
            val expected = (0 until 5).associate { t -> "t$t" to (36L..40L).first { it % 5 == t.toLong() } }
            fleet.vms.forEach { vm ->
                val held = vm.copy.stored("templates").associate { it.name.name to it.version }
                assertEquals(expected, held, vm.id)
            }
        }

    /** Guards against failed VMs that stay in use, healthy ones that are dropped permanently, and large messages. */
    @TestFactory
    fun failedVmsAreDetectedAndHealthyOnesStay(): List<DynamicTest> =
        cases("members") { size, seed ->
            val fleet = joined(size, seed)
            val failed = fleet.vms.shuffled(Random(seed)).take(size / 8)
            failed.forEach { it.running = false }
            val seen = fleet.roundsUntil { fleet.agree(failed, MemberState.UNRESPONSIVE) }
            assertTrue(seen <= 12, "$seen rounds until the failure was seen")
            failed.forEach { it.running = true }
            // One exchange in three fails, so single VMs are wrongly suspected at times. Each must be seen live again.
            val missing = (fleet.running() - failed.toSet()).flatMap { vm -> failed.map { vm to it.id } }.toMutableSet()
            val back =
                fleet.roundsUntil {
                    missing.removeAll { (vm, id) -> vm.table.view(id, fleet.now)?.state == MemberState.LIVE }
                    missing.isEmpty()
                }
            assertTrue(back <= 12, "$back rounds until the return was seen")
            val bound = MemberTable.FULL_LIMIT
            assertTrue(fleet.largestMessage <= bound, "${fleet.largestMessage} heartbeats in a message")
        }

    /** Guards against a healthy VM that is dropped although no message is lost. */
    @TestFactory
    fun healthyVmsStayWithoutLosses(): List<DynamicTest> =
        cases("healthy") { size, seed ->
            val fleet = joined(size, seed, loss = 0.0)
            repeat(60) {
                fleet.round()
                assertTrue(fleet.agree(fleet.vms, MemberState.LIVE, observers = fleet.vms), "round $it")
            }
        }

    /** Guards against a draining VM whose address is still given to callers. */
    @TestFactory
    fun drainingIsSeenByEveryVm(): List<DynamicTest> =
        cases("drain") { size, seed ->
            val fleet = joined(size, seed)
            val vm = fleet.vms.random(Random(seed))
            vm.table.updateSelf { it.copy(state = MemberState.DRAINING) }
            val rounds = fleet.roundsUntil { fleet.agree(listOf(vm), MemberState.DRAINING) }
            assertTrue(rounds <= 12, "$rounds rounds")
        }

    private fun cases(name: String, run: (size: Int, seed: Int) -> Unit): List<DynamicTest> =
        sizes.flatMap { size -> seeds.map { seed -> dynamicTest("$name, $size VMs, seed $seed") { run(size, seed) } } }

    private fun joined(size: Int, seed: Int, loss: Double = 0.2): SimulatedFleet {
        val fleet = SimulatedFleet(size, loss, seed)
        val rounds = fleet.roundsUntil { fleet.vms.all { it.table.view(fleet.now).size == size } }
        assertTrue(rounds <= 30, "$rounds rounds until all had joined")
        return fleet
    }

    private fun SimulatedFleet.agree(
        subjects: List<SimulatedVm>,
        state: MemberState,
        observers: List<SimulatedVm> = running() - subjects.toSet(),
    ): Boolean = observers.all { vm -> subjects.all { vm.table.view(it.id, now)?.state == state } }

    private fun SimulatedFleet.roundsUntil(reached: () -> Boolean): Int {
        repeat(LIMIT) {
            if (reached()) return it
            round()
        }
        return LIMIT
    }

    private companion object {
        const val LIMIT = 100
    }
}
