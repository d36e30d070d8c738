package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class QuotaSharesTest {
    private val clock = ManualClock()
    private val bounds = QuotaBounds(windowMillis = 8_000, overage = 0.1, slackTokens = 110_000.0)
    private val limit = WorkspaceLimit(ratePerSecond = 30_000.0, burst = 30_000.0)
    private val workspace = ForwardWorkspace("w", limit, defaultCost = 200, chargesTokens = true)

    /** [least] is the fraction of the limit that must be granted despite the faults. */
    private class Case(val what: String, val restartEvery: Int, val lossyLoans: Boolean, val least: Double)

    /**
     * Guards against a workspace that gets more than its limit over all VMs in some window: with loans, with loans
     * whose response is lost, and with all VMs restarted within the window.
     */
    @Test
    fun theSumOverAllVmsStaysWithinTheLimitInEveryWindow() {
        listOf(
            Case("loans", restartEvery = Int.MAX_VALUE, lossyLoans = false, least = 0.9),
            Case("lost loans", restartEvery = Int.MAX_VALUE, lossyLoans = true, least = 0.25),
            Case("all VMs restarted", restartEvery = 300, lossyLoans = false, least = 0.9),
        ).forEach { case ->
            val granted = play(case)
            val allowed = (limit.ratePerSecond * 8 + limit.burst) * 1.1 + bounds.slackTokens
            val windows = granted.map { (from, _) -> granted.filter { it.first in from until from + 8_000 } }
            val most = windows.maxOf { window -> window.sumOf { it.second } }
            assertTrue(most <= allowed, "${case.what}: $most of $allowed")
            val total = granted.sumOf { it.second }
            assertTrue(total >= limit.ratePerSecond * 30 * case.least, "${case.what}: only $total were granted in 30 s")
        }
    }

    /** Sends three times the limit to eight VMs for 30 s; returns the times and tokens of granted requests. */
    private fun play(case: Case): List<Pair<Long, Double>> {
        val random = Random(1)
        var vms = List(VMS) { QuotaShares(bounds, { 1.0 / VMS }, firstStart = true, clock) }
        val granted = ArrayList<Pair<Long, Double>>()
        repeat(3_000) { step ->
            clock.advance(10)
            if (step % case.restartEvery == case.restartEvery - 1) {
                vms = List(VMS) { QuotaShares(bounds, { 1.0 / VMS }, firstStart = false, clock) }
            }
            if (random.nextInt(6) != 0) return@repeat
            val own = vms.random(random)
            val tokens = random.nextInt(2_000, 9_000).toDouble()
            val missing = own.shortfall(workspace, tokens)
            val lent = if (missing > 0) vms.filter { it !== own }.sumOf { it.lend(workspace, missing / 3) } else 0.0
            if (!case.lossyLoans || random.nextBoolean()) own.add(workspace, lent)
            if (own.take(workspace, tokens)) granted += clock.nanos() / 1_000_000 to tokens
        }
        return granted
    }

    /**
     * Load: a workspace sends nine tenths of its rate, or twice its rate, to 62 VMs of which eight hold its limit.
     * Guards against surplus tokens that remain at borrowers, and against loans too small for a request.
     */
    @Test
    fun limitIsGrantedAtVmsWithoutShare() {
        listOf(22 to 0.9, 10 to 1.0).forEach { (pause, least) ->
            val random = Random(2)
            val vms =
                List(62) { vm -> QuotaShares(bounds, { if (vm < VMS) 1.0 / VMS else 0.0 }, firstStart = true, clock) }
            val holders = vms.take(VMS)
            val granted = (1..6_000).sumOf {
                clock.advance(10)
                val sent = random.nextInt(pause) == 0
                if (sent) chargeAt(vms.random(random), holders.shuffled(random), random.nextInt(3_000, 9_000)) else 0
            }
            val part = granted / (limit.ratePerSecond * 60)
            assertTrue(part >= least, "one request in ${pause * 10} ms: $part of the limit was granted")
        }
    }

    /** Charges a request of [tokens] at [own], with loans from [holders]. Returns the tokens granted. */
    private fun chargeAt(own: QuotaShares, holders: List<QuotaShares>, tokens: Int): Int {
        if (own.shortfall(workspace, tokens.toDouble()) > 0) {
            var wanted = own.borrowAmount(workspace, tokens.toDouble())
            holders.forEach { holder -> wanted -= holder.lend(workspace, wanted).also { own.add(workspace, it) } }
        }
        val granted = own.take(workspace, tokens.toDouble())
        holders.first().add(workspace, own.takeSurplus(workspace))
        return if (granted) tokens else 0
    }

    /** Guards against losing tokens that are returned or lent to a VM whose bucket is full. */
    @Test
    fun tokensThatAreGivenBackAreNotLostAtTheDepth() {
        val shares = QuotaShares(bounds, { 1.0 }, firstStart = true, clock)
        val full = generateSequence(1_000.0) { it + 1_000 }.takeWhile { shares.shortfall(workspace, it) == 0.0 }.last()
        shares.add(workspace, 5_000.0)
        assertEquals(0.0, shares.shortfall(workspace, full + 5_000))
        clock.advance(1_000)
        assertTrue(shares.shortfall(workspace, full + 7_000) > 0, "a bucket above its depth gains nothing")
    }

    /** Guards against limiting workspaces without a rate. */
    @Test
    fun aWorkspaceWithoutARateIsNotLimited() {
        val free = workspace.copy(limit = WorkspaceLimit(0.0, 0.0))
        val shares = QuotaShares(bounds, { 1.0 / VMS }, firstStart = false, clock)
        assertTrue((1..100).all { shares.take(free, 1e9) })
    }

    private companion object {
        const val VMS = 8
    }
}
