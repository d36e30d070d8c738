package fireflyhinge.order

/**
 * What to do in a cell now.
 *
 * @property excluded replicas that get no new placements.
 * @property orders orders to send; the outcome of each must be passed to [CellOrders.recordOutcome].
 */
data class OrderDecision(val excluded: Set<String>, val orders: List<PlannedOrder>)
