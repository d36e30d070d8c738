package fireflyhinge.forward

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
}
