package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaSelector
import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.RetryBudgetShares

/** What is needed to choose replicas and to repeat sends. */
internal class ReplicaRouting(val table: ReplicaTable, val selector: ReplicaSelector, val retries: RetryBudgetShares)
