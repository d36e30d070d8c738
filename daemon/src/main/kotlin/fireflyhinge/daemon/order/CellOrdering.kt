package fireflyhinge.daemon.order

import fireflyhinge.daemon.cell.CellRuntime
import fireflyhinge.order.OrderOutcome
import fireflyhinge.order.PlannedOrder
import fireflyhinge.order.ReplicaOrderStatus

/** Orders of one running cell. Thread-safe. */
internal class CellOrdering(private val runtime: CellRuntime, private val sender: OrderSender) {
    private val orders = sender.ordersOf(runtime.key, runtime.epoch)

    /** Progress of the cell's replicas. */
    val status: List<ReplicaOrderStatus> get() = orders.status

    /** Decides what to do now, applies it to the cell's placements and returns the orders to [send]. */
    @Synchronized
    fun decide(): List<PlannedOrder> {
        val views = runtime.replicas.views()
        val decision = orders.decide(views, sender.lease(runtime.key), sender.leases.mapReadStartedAt, sender.now())
        runtime.replicas.exclude(decision.excluded)
        if (orders.needsMapRead) sender.leases.requestMapRead()
        return decision.orders
    }

    /** Sends [planned] and records the outcome. */
    fun send(planned: PlannedOrder) {
        var outcome: OrderOutcome = OrderOutcome.Unknown("the sending failed")
        try {
            outcome = sender.send(planned) { permits(planned) }
        } finally {
            synchronized(this) { orders.recordOutcome(planned, outcome, sender.now()) }
        }
    }

    /** Time may have passed since the decision, for example because the process was paused. */
    private fun permits(planned: PlannedOrder): Boolean =
        orders.obstacle(planned.upstream.checksFence, sender.lease(runtime.key), sender.now()) == null
}
