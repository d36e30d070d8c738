package fireflyhinge.order

import fireflyhinge.engine.EngineOrder
import fireflyhinge.lease.ActingLease

/**
 * Decides which orders the owner of a cell gives. The owner has acted under [ownerEpoch] since [actingSince]. At most
 * [MAX_CONCURRENT] replicas of the cell drain or carry out an order at a time. This bounds the load on the weight store
 * and preserves the capacity of the cell.
 *
 * Times are monotonic nanoseconds. Not thread-safe.
 */
class CellOrders(
    private val shard: Int,
    val ownerEpoch: Long,
    private val actingSince: Long,
    private val tokens: FencingTokens,
) {
    private val replicas = HashMap<String, ReplicaOrders>()
    private var active: Set<String> = emptySet()
    private val statuses = OrderStatuses()

    /** Progress of all replicas at the last decision. */
    val status: List<ReplicaOrderStatus> get() = statuses.all

    /** Whether orders to a replica wait for a new read of the map, since an engine refused a fencing token. */
    val needsMapRead: Boolean get() = replicas.values.any { it.stopped }

    /**
     * Decides at [now] for the replicas in [views] under the current [lease]. The last complete read of the map began
     * at [mapReadStartedAt], which is null before the first.
     */
    fun decide(views: List<ReplicaView>, lease: ActingLease?, mapReadStartedAt: Long?, now: Long): OrderDecision {
        replicas.keys.retainAll(views.mapTo(HashSet()) { it.upstream.name })
        views.forEach { replicas.getOrPut(it.upstream.name) { ReplicaOrders() }.observe(it, mapReadStartedAt, now) }
        val obstacles = views.associate { it.upstream.name to obstacle(it, lease, now) }
        val ready = views.filter { obstacles[it.upstream.name] == null && wantsOrder(it, now) }
        selectActive(views, ready)
        val selected = ready.filter { it.upstream.name in active }
        val due = selected.filter { step(it)?.action?.disruptive == false || it.drained }
        val orders = due.mapNotNull { plan(it, lease, now) }
        statuses.update(views, replicas, obstacles, active, now)
        return OrderDecision(excluded = excluded(views, selected), orders = orders)
    }

    /** Records the outcome of sending [order], known at [now]. */
    fun recordOutcome(order: PlannedOrder, outcome: OrderOutcome, now: Long) {
        replicas[order.upstream.name]?.recordOutcome(order.order, outcome, now)
    }

    /**
     * Why an engine may not get an order under [lease] at [now], or null if it may. Also checked immediately before an
     * order is sent.
     */
    fun obstacle(checksFence: Boolean, lease: ActingLease?, now: Long): OrderObstacle? =
        OrderTiming.obstacle(lease, ownerEpoch, actingSince = actingSince, checksFence = checksFence, now = now)

    private fun obstacle(view: ReplicaView, lease: ActingLease?, now: Long) =
        obstacle(view.upstream.checksFence, lease, now)

    private fun wantsOrder(view: ReplicaView, now: Long): Boolean {
        val orders = replicas.getValue(view.upstream.name)
        val free = orders.current == null && !orders.stopped && !orders.isBackingOff(now)
        return view.reachable && free && step(view) != null
    }

    private fun selectActive(views: List<ReplicaView>, ready: List<ReplicaView>) {
        val busy = views.map { it.upstream.name }.filter { replicas.getValue(it).current != null }
        val waiting = ready.map { it.upstream.name }.sortedWith(compareBy({ it !in active }, { it }))
        active = (busy + waiting.take(maxOf(0, MAX_CONCURRENT - busy.size))).toSet()
    }

    private fun plan(view: ReplicaView, lease: ActingLease?, now: Long): PlannedOrder? {
        val next = step(view) ?: return null
        val token = lease?.let { tokens.next(shard, it.epoch) } ?: return null
        val order = EngineOrder(fence = token, action = next.action.wireName, argument = next.argument)
        replicas.getValue(view.upstream.name).begin(order, view.load?.incarnation, now)
        return PlannedOrder(view.upstream, order, disruptive = next.action.disruptive)
    }

    private fun excluded(views: List<ReplicaView>, selected: List<ReplicaView>): Set<String> {
        val unfit = views.filter { view -> view.load?.let { OrderPlan.serves(view.upstream, it) } == false }
        val disrupted =
            views.filter { view ->
                val action = replicas.getValue(view.upstream.name).current?.let { EngineAction.of(it.action) }
                action?.disruptive == true
            }
        val draining = selected.filter { step(it)?.action?.disruptive == true }
        return (unfit + disrupted + draining).mapTo(HashSet()) { it.upstream.name }
    }

    private fun step(view: ReplicaView): OrderStep? = view.load?.let { OrderPlan.next(view.upstream, it) }

    companion object {
        /**
         * Maximum number of replicas of a cell that drain or carry out an order at a time. The weight store is
         * rate-limited.
         */
        const val MAX_CONCURRENT = 2
    }
}
