package fireflyhinge.retry

import fireflyhinge.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap

/** Retry budgets of this daemon, one per workspace and one per pool. */
class RetryBudgets(private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private val workspaces = ConcurrentHashMap<String, RetryBudget>()
    private val pools = ConcurrentHashMap<String, RetryBudget>()

    /** Counts one accepted request of [workspace] on [pool]. */
    fun recordRequest(workspace: String, pool: String) {
        workspaces.budget(workspace).recordRequest()
        pools.budget(pool).recordRequest()
    }

    /** Takes one retry from both budgets; false, without a change, if either is exhausted. */
    fun tryAcquire(workspace: String, pool: String): Boolean {
        val own = workspaces.budget(workspace)
        if (!own.tryAcquire()) return false
        if (pools.budget(pool).tryAcquire()) return true
        own.refund()
        return false
    }

    private fun ConcurrentHashMap<String, RetryBudget>.budget(name: String) = computeIfAbsent(
        name
    ) { RetryBudget(clock) }
}
