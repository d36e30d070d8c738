package fireflyhinge.systemtest

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.extension.RegisterExtension

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RegionPartitionTest {
    private val greedy = WorkspaceSpec("klerki", rate = RATE, burst = BURST)
    private val links = FleetLinks(TestFleets.twoRegions(listOf(greedy)))

    @RegisterExtension
    @JvmField
    internal val running = FleetExtension(links.spec)
    private val fleet = running.fleet
    private val vms = TestFleets.regions.map { region -> fleet.spec.vms.filter { it.region == region }.map { it.id } }

    @AfterAll
    fun closeLinks() = links.close()

    /**
     * Guards against tokens that are granted by both regions when they part while one borrows from the other, and
     * against a region that serves nothing alone. The second region also loses the store.
     */
    @Test
    fun bothRegionsTogetherStayWithinRateAndBurst() {
        val first = load(vms[0])
        awaitServed(first, System.nanoTime())
        Thread.sleep(BORROW_MILLIS)
        val partedAt = System.nanoTime()
        links.cutOff(fleet, vms[1].toSet())
        val second = load(vms[1])
        listOf(first, second).forEach { awaitServed(it, partedAt) }
        Thread.sleep(PARTED_MILLIS)
        val healedAt = System.nanoTime()
        links.heal()
        Thread.sleep(HEALED_MILLIS)
        val outcomes = listOf(first, second).map { it.finish() }
        outcomes.forEach { region ->
            println("region: ${region.size} sent, ${region.count { it.whole }} served")
            assertTrue(region.any { it.whole && it.intendedAt > healedAt }, "nothing served after the regions rejoined")
        }
        assertEquals(0.0, maxOf(0.0, RateExcess.of(outcomes.flatten(), RATE, BURST)), "admitted beyond rate and burst")
    }

    private fun load(vms: List<String>) =
        PacedLoad(fleet, greedy, vms, perSecond = FACTOR * RATE / PacedLoad.COST, plain = true)

    private fun awaitServed(load: PacedLoad, since: Long) =
        fleet.await("no request is served") { load.outcomes.any { it.whole && it.intendedAt > since } }

    private companion object {
        const val RATE = 1_000.0
        const val BURST = 2_000.0

        // Each region is sent this many times the rate of the whole workspace.
        const val FACTOR = 5.0
        const val BORROW_MILLIS = 3_000L
        const val PARTED_MILLIS = 8_000L
        const val HEALED_MILLIS = 4_000L
    }
}
