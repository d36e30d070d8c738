package fireflyhinge.order

/**
 * What to do now in a cell.
 *
 * @property withheld replicas that get no new placements.
 * @property orders orders to send; each must be ended by [CellOrders.ended].
 */
data class OrderDecision(val withheld: Set<String>, val orders: List<PlannedOrder>)
