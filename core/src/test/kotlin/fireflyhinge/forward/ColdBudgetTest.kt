package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class ColdBudgetTest {
    private val clock = ManualClock()
    private val bounds = ColdBounds(overage = 1.5, slack = 5.0)

    private fun budget(self: String, live: List<String>) = ColdBudget(self, bounds, clock).also { it.update(live) }

    /** Advances the time as on a VM that runs. */
    private fun run(budgets: List<ColdBudget>, live: List<String>, millis: Long) {
        repeat((millis / STEP).toInt()) {
            clock.advance(STEP)
            budgets.forEach { it.update(live) }
        }
    }

    /** Guards against a division whose parts exceed the limit, and against one that leaves most of it unused. */
    @Test
    fun sharesOfOneViewStayWithinTheLimitAlsoWithHalfAsManyHoldersAgain() {
        for (limit in listOf(1.0, 1.4, 1.9, 2.0, 3.5, 5.0, 19.0, 20.0, 33.5, 250.0)) {
            for (vms in listOf(1, 2, 3, 4, 7, 12, 16, 24, 67, 1_500)) {
                val share = checkNotNull(ColdShare.of(limit, vms))
                val mistaken = minOf((share.holders + 1) / 2, limit.toInt() - share.holders)
                assertTrue((share.holders + mistaken) * share.perHolder <= limit, "$limit with $vms: $share")
                assertTrue(share.perHolder * share.spacingMillis > 1_000, "$limit with $vms: $share")
                assertTrue(share.holders * share.perHolder >= limit / 4, "$limit with $vms: $share")
            }
        }
        assertNull(ColdShare.of(0.0, 3))
        assertNull(ColdShare.of(Double.NaN, 3))
        assertEquals(2_001, ColdShare.of(0.5, 3)?.spacingMillis, "below one per second the rate is kept")
    }

    /** Guards against sends of a VM that the others do not know yet, or that was frozen and replaced meanwhile. */
    @Test
    fun aNewOrResumedVmWaitsUntilOthersKnowIt() {
        val own = ColdBudget("a", bounds, clock)
        assertFalse(own.tryAcquire("r", PER_SECOND), "the others are not known")
        own.update(emptyList())
        assertFalse(own.tryAcquire("r", PER_SECOND))
        run(listOf(own), emptyList(), ColdBudget.HOLD_OFF_MILLIS)
        assertTrue(own.tryAcquire("r", PER_SECOND))
        clock.advance(ColdBudget.MAX_UPDATE_AGE_MILLIS + 1)
        assertFalse(own.tryAcquire("r", PER_SECOND), "it does not know for how long it was frozen")
        own.update(emptyList())
        assertFalse(own.tryAcquire("r", PER_SECOND))
        run(listOf(own), emptyList(), ColdBudget.HOLD_OFF_MILLIS)
        assertTrue(own.tryAcquire("r", PER_SECOND))
    }

    /** Guards against VMs that take over the shares of others that they do not hear, but that still send. */
    @Test
    fun sharesOfUnheardVmsAreNotTakenOver() {
        val names = List(60) { "vm-$it" }
        val budgets = names.map { budget(it, names) }
        run(budgets, names, 15_000)
        val holders = budgets.count { it.permits("r", PER_SECOND) }
        run(budgets, emptyList(), 120_000)
        assertEquals(holders, budgets.count { it.permits("r", PER_SECOND) })
        run(budgets, emptyList(), ColdBudget.MEMBER_MILLIS)
        assertEquals(names.size, budgets.count { it.permits("r", PER_SECOND) }, "the others ended long ago")
    }

    /** Guards against a second prompt that is prefilled for a send that is already promised to another request. */
    @Test
    fun aClaimedSendIsLeftToItsRequest() {
        val names = List(60) { "vm-$it" }
        val budgets = names.map { budget(it, names) }
        run(budgets, names, ColdBudget.HOLD_OFF_MILLIS)
        val holder = budgets.first { it.permits("r", PER_SECOND) }
        assertTrue(holder.claim("r", PER_SECOND))
        assertFalse(holder.claim("r", PER_SECOND))
        assertFalse(holder.tryAcquire("r", PER_SECOND))
        assertTrue(holder.tryAcquire("r", PER_SECOND, claimed = true))
        run(budgets, names, 1_250)
        assertTrue(holder.claim("r", PER_SECOND))
        run(budgets, names, ColdBudget.CLAIM_MILLIS)
        assertTrue(holder.claim("r", PER_SECOND), "an unused claim expires")
    }

    /** Guards against a bound that holds only where each VM knows all others. */
    @Test
    fun viewsThatLackATenthOf1500VmsKeepTheBound() {
        val names = List(1_500) { "vm-$it" }
        for (seed in 1..3) {
            val random = Random(seed)
            val budgets = names.map { budget(it, names.filter { random.nextInt(10) > 0 }) }
            clock.advance(1_000)
            budgets.forEach { it.update(emptyList()) }
            repeat(5) {
                clock.advance(1_000)
                budgets.forEach { it.update(emptyList()) }
            }
            for (replica in 1..20) {
                val sends = budgets.count { it.tryAcquire("r$replica", PER_SECOND) }
                assertTrue(sends <= bounds.limit(PER_SECOND), "seed $seed, replica $replica: $sends")
                assertTrue(sends >= PER_SECOND, "seed $seed, replica $replica: only $sends")
            }
        }
    }

    /** Guards against more requests than a cold replica tolerates, whatever happens to the VMs and their links. */
    @Test
    fun randomSchedulesKeepTheBoundInEverySecond() {
        for (seed in 1..12) {
            val fleet = ColdFleetSimulation(Random(seed), vms = if (seed % 4 == 0) 8 else 67, bounds = bounds)
            val result = fleet.run(seconds = 150, faults = true)
            val limit = bounds.limit(PER_SECOND)
            assertTrue(result.busiestSecond <= limit, "seed $seed: ${result.busiestSecond}")
            assertTrue(result.meanPerSecond >= limit / 4, "seed $seed: only ${result.meanPerSecond}")
        }
    }

    /** Guards against a budget that stays unused although no VM fails. */
    @Test
    fun aCalmFleetUsesMostOfTheBudget() {
        for (vms in listOf(1, 2, 8, 24, 67, 150)) {
            val result = ColdFleetSimulation(Random(vms), vms, bounds, stepMillis = 5).run(seconds = 30, faults = false)
            assertTrue(result.busiestSecond <= bounds.limit(PER_SECOND), "$vms VMs: $result")
            assertTrue(result.meanPerSecond >= bounds.limit(PER_SECOND) * 0.4, "$vms VMs: $result")
        }
    }

    private companion object {
        const val PER_SECOND = 19.0
        const val STEP = 250L
    }
}
