package fireflyhinge.daemon.service

import fireflyhinge.daemon.caller.CallerPorts
import fireflyhinge.retry.RetryBudgets
import fireflyhinge.store.Store

/** What calls of plain services need of the rest of the daemon. */
data class ServicePorts(
    val caller: CallerPorts,
    val store: Store,
    val client: ServiceClient,
    val repair: ClaimRepair,
    val budgets: RetryBudgets = RetryBudgets(),
    val limits: ServiceLimits = ServiceLimits(),
)
