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
    private var turns: Set<String> = emptySet()
    private val statuses = OrderStatuses()

    /** Progress of all replicas as of the last decision. */
    val status: List<ReplicaOrderStatus> get() = statuses.all

    /** Whether a refused token waits for a new read of the map. */
    val needsMapRead: Boolean get() = replicas.values.any { it.stopped }

    /** Decides at [now] for the replicas [views] under the present [lease]. */
    fun decide(views: List<ReplicaView>, lease: ActingLease?, mapReadStartedAt: Long?, now: Long): OrderDecision {
        replicas.keys.retainAll(views.mapTo(HashSet()) { it.upstream.name })
        views.forEach { replicas.getOrPut(it.upstream.name) { ReplicaOrders() }.observe(it, mapReadStartedAt, now) }
        val obstacles = views.associate { it.upstream.name to obstacle(it, lease, now) }
        val ready = views.filter { obstacles[it.upstream.name] == null && wantsOrder(it, now) }
        takeTurns(views, ready)
        val inTurn = ready.filter { it.upstream.name in turns }
        val due = inTurn.filter { step(it)?.action?.disruptive == false || it.drained }
        val orders = due.mapNotNull { plan(it, lease, now) }
        statuses.update(views, replicas, obstacles, turns, now)
        return OrderDecision(withheld = withheld(views, inTurn), orders = orders)
    }

    /** Records at [now] how the sending of [order] ended. */
    fun recordOutcome(order: PlannedOrder, outcome: OrderOutcome, now: Long) {
        replicas[order.upstream.name]?.recordOutcome(order.order, outcome, now)
    }

    /** Why an engine may get no order under [lease] at [now], or null. Also checked just before an order is sent. */
    fun obstacle(checksFence: Boolean, lease: ActingLease?, now: Long): OrderObstacle? =
        OrderTiming.obstacle(lease, ownerEpoch, actingSince = actingSince, checksFence = checksFence, now = now)

    private fun obstacle(view: ReplicaView, lease: ActingLease?, now: Long) =
        obstacle(view.upstream.checksFence, lease, now)

    private fun wantsOrder(view: ReplicaView, now: Long): Boolean {
        val orders = replicas.getValue(view.upstream.name)
        val free = orders.current == null && !orders.stopped && !orders.waits(now)
        return view.reachable && free && step(view) != null
    }

    private fun takeTurns(views: List<ReplicaView>, ready: List<ReplicaView>) {
        val busy = views.map { it.upstream.name }.filter { replicas.getValue(it).current != null }
        val waiting = ready.map { it.upstream.name }.sortedWith(compareBy({ it !in turns }, { it }))
        turns = (busy + waiting.take(maxOf(0, MAX_CONCURRENT - busy.size))).toSet()
    }

    private fun plan(view: ReplicaView, lease: ActingLease?, now: Long): PlannedOrder? {
        val next = step(view) ?: return null
        val token = lease?.let { tokens.next(shard, it.epoch) } ?: return null
        val order = EngineOrder(fence = token, action = next.action.wireName, argument = next.argument)
        replicas.getValue(view.upstream.name).begin(order, view.load?.incarnation, now)
        return PlannedOrder(view.upstream, order, disruptive = next.action.disruptive)
    }

    private fun withheld(views: List<ReplicaView>, inTurn: List<ReplicaView>): Set<String> {
        val unfit = views.filter { view -> view.load?.let { OrderPlan.serves(view.upstream, it) } == false }
        val disrupted =
            views.filter { view ->
                val action = replicas.getValue(view.upstream.name).current?.let { EngineAction.of(it.action) }
                action?.disruptive == true
            }
        val draining = inTurn.filter { step(it)?.action?.disruptive == true }
        return (unfit + disrupted + draining).mapTo(HashSet()) { it.upstream.name }
    }

    private fun step(view: ReplicaView): OrderStep? = view.load?.let { OrderPlan.next(view.upstream, it) }

    companion object {
        /** Replicas of a cell that are drained or carry out an order at a time; the weight store is rate-limited. */
        const val MAX_CONCURRENT = 2
    }
}
