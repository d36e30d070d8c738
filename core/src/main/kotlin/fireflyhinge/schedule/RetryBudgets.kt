package fireflyhinge.schedule

import fireflyhinge.peer.PlaceRequest

/** Retry budgets of a cell and of each workspace in it. */
internal class RetryBudgets(private val settings: SchedulerSettings) {
    private val cell = budget(limit = CELL_LIMIT)
    private val workspaces = HashMap<String, RetryBudget>()

    /** Counts a running request that another owner placed, so that its retry is not refused after a takeover. */
    fun adopted(request: PlaceRequest) = both(request).forEach { it.request() }

    /** Counts [request]; false if it is a retry beyond a budget. */
    fun admit(request: PlaceRequest, now: Long): Boolean {
        val both = both(request)
        if (request.attempt <= 1) {
            both.forEach { it.request() }
            return true
        }
        val allowed = both.all { it.allows(now) }
        if (allowed) both.forEach { it.take() }
        return allowed
    }

    private fun both(request: PlaceRequest) =
        listOf(workspaces.getOrPut(request.workspace) { budget(limit = WORKSPACE_LIMIT) }, cell)

    private fun budget(limit: Double) =
        RetryBudget(ratio = settings.retryRatio, minimum = settings.retryMinimum, limit = limit)

    private companion object {
        /** A replica that crashes leaves about 20 requests to retry; several may crash together. */
        const val CELL_LIMIT = 200.0
        const val WORKSPACE_LIMIT = 60.0
    }
}
