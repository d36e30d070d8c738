package fireflyhinge.order

import fireflyhinge.engine.EngineLoad

/** Progress of the replicas of a cell, as shown to operators. */
internal class OrderStatuses {
    /** Statuses at the last update. */
    @Volatile
    var all: List<ReplicaOrderStatus> = emptyList()
        private set

    /** Recomputes [all] after a decision at [now]. The replicas in [active] drain or carry out an order. */
    fun update(
        views: List<ReplicaView>,
        orders: Map<String, ReplicaOrders>,
        obstacles: Map<String, OrderObstacle?>,
        active: Set<String>,
        now: Long,
    ) {
        all =
            views.map { view ->
                val name = view.upstream.name
                val blocked = obstacles[name] != null
                val phase = phase(view, orders.getValue(name), blocked = blocked, active = name in active, now = now)
                status(view, orders.getValue(name), phase, now)
            }
    }

    private fun phase(view: ReplicaView, orders: ReplicaOrders, blocked: Boolean, active: Boolean, now: Long) =
        when {
            orders.current != null -> OrderPhase.ORDERED
            !view.reachable -> OrderPhase.UNREACHABLE
            view.load?.role == null -> OrderPhase.NOT_REPORTED
            OrderPlan.next(view.upstream, view.load) == null -> OrderPhase.SETTLED
            orders.stopped -> OrderPhase.STOPPED
            orders.isBackingOff(now) -> OrderPhase.WAITS_AFTER_REFUSAL
            blocked -> OrderPhase.WAITS_FOR_LEASE
            active -> OrderPhase.DRAINING
            else -> OrderPhase.WAITS_FOR_TURN
        }

    private fun status(view: ReplicaView, orders: ReplicaOrders, phase: OrderPhase, now: Long): ReplicaOrderStatus {
        val current = orders.current
        val refusal = orders.refusal
        return ReplicaOrderStatus(
            upstream = view.upstream.name,
            phase = phase,
            desired = view.upstream.desiredState(),
            reported = view.load?.let(::reported),
            order = current?.run { "$action $argument" },
            token = current?.fence,
            lastRefusal = refusal?.run { "${order.action} ${order.argument}: $reason" },
            refusalAgeMillis = refusal?.let { (now - it.at) / NANOS_PER_MILLI },
        )
    }

    private fun reported(load: EngineLoad) =
        ReplicaOrderStatus.State(load.role, load.models?.sorted(), load.adapters?.sorted(), load.version)

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
