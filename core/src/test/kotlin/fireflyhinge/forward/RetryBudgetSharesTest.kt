package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RetryBudgetSharesTest {
    /** Guards against retries that exceed the platform's bound, summed over all VMs, while a service fails. */
    @Test
    fun theSumOverAllVmsStaysWithinTheBound() {
        val bounds = RetryBounds(ratio = 0.2, slack = 56.0)
        listOf(1, 8, 83).forEach { vms ->
            val shares = List(vms) { RetryBudgetShares(bounds) { vms } }
            val requests = 450
            val repeats =
                (1..requests).sumOf { n ->
                    val own = shares[n % vms]
                    own.recordRequest("s")
                    (1..3).count { own.tryAcquire("s") }
                }
            val allowed = bounds.ratio * requests + maxOf(bounds.slack, vms.toDouble())
            assertTrue(repeats <= allowed, "$vms VMs: $repeats of $allowed")
            assertTrue(repeats >= bounds.ratio * requests / 2, "$vms VMs: only $repeats")
        }
    }

    /**
     * Load: a service fails, and all VMs have used their shares when they lose power and start again one after the
     * other. Guards against restarted VMs that begin with whole shares, which doubles the slack.
     */
    @Test
    fun restartedVmsDoNotGetTheSlackAgain() {
        val bounds = RetryBounds(ratio = 0.2, slack = 56.0)
        listOf(1, 8, 50).forEach { vms ->
            var requests = 0
            var repeats = 0
            val send = { shares: RetryBudgetShares ->
                requests++
                shares.recordRequest("s")
                repeats += (1..60).count { shares.tryAcquire("s") }
            }
            List(vms) { RetryBudgetShares(bounds) { vms } }.forEach(send)
            List(vms) { RetryBudgetShares(bounds, restarted = true) { vms } }.forEach(send)
            val allowed = bounds.ratio * requests + bounds.slack
            assertTrue(repeats <= allowed, "$vms VMs: $repeats of $allowed")
        }
    }

    /** Guards against a share computed for few VMs that is kept when more are known. */
    @Test
    fun aShareShrinksWhenMoreVmsAreKnown() {
        var vms = 2
        val shares = RetryBudgetShares(RetryBounds(ratio = 0.2, slack = 56.0)) { vms }
        shares.recordRequest("s")
        vms = 50
        assertEquals(1, (1..60).count { shares.tryAcquire("s") })
    }
}
