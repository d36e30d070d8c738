package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaSelector
import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.RetryBudgetShares

/** Replica table, replica selection and retry budget. */
internal class ReplicaRouting(val table: ReplicaTable, val selector: ReplicaSelector, val retries: RetryBudgetShares)
