package fireflyhinge.retry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class RetryBudgetTest {
    private var now = 0L
    private val budgets = RetryBudgets { now }

    /** Guards against retries that multiply the load on a failing pool, and against a budget that is never refilled. */
    @Test
    fun retriesStayWithinTheBudgetUntilItIsRefilled() {
        val steps =
            listOf(
                "the initial budget is 3" to ({ }) to 3,
                "10 requests add one" to { repeat(10) { budgets.recordRequest("w", "pool") } } to 1,
                "a second adds 5" to { now += 1_000_000_000 } to 5,
                "an hour adds no more than the capacity" to { now += 3_600_000_000_000 } to 100,
            )
        steps.forEach { (step, expected) ->
            step.second()
            assertEquals(expected, (1..1000).count { budgets.tryAcquire("w", "pool") }, step.first)
        }
    }

    /** Guards against a workspace whose budget is consumed when the budget of the pool is exhausted. */
    @Test
    fun aRefusalByThePoolCostsTheWorkspaceNothing() {
        repeat(3) { budgets.tryAcquire("other", "pool") }
        assertEquals(false, budgets.tryAcquire("w", "pool"))
        assertEquals(3, (1..10).count { budgets.tryAcquire("w", "pool2") })
    }
}
