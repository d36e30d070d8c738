package fireflyhinge.order

import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.OrderProgress
import fireflyhinge.engine.OrderState
import fireflyhinge.lease.ActingLease
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

class CellOrdersTest {
    private val lease = ActingLease(epoch = 3, ownerEpoch = 3, until = Long.MAX_VALUE)
    private val orders = CellOrders(shard = 0, ownerEpoch = 3, actingSince = 0, tokens = FencingTokens())
    private var now = 2 * SECOND

    private data class Case(
        val name: String,
        val views: List<ReplicaView>,
        val orders: List<String>,
        val excluded: Set<String> = emptySet(),
        val phases: List<OrderPhase>,
    )

    private fun ReplicaView.reporting(state: OrderState, fence: Long = 1, action: String = "load_adapter") =
        copy(load = load?.copy(order = OrderProgress(fence, action, "x", state, reason = "no memory")))

    private val cases =
        listOf(
            Case("settled", listOf(testView("a")), emptyList(), phases = listOf(OrderPhase.SETTLED)),
            Case("a load needs no drain", listOf(testView("a", "x")), listOf("a"), phases = listOf(OrderPhase.ORDERED)),
            Case(
                "two loads at a time",
                listOf(testView("a", "x"), testView("b", "x"), testView("c", "x")),
                listOf("a", "b"),
                phases = listOf(OrderPhase.ORDERED, OrderPhase.ORDERED, OrderPhase.WAITS_FOR_TURN),
            ),
            Case(
                "loads of the previous owner count",
                listOf(testView("a", "x"), testView("b", "x"), testView("c").reporting(OrderState.RUNNING)),
                listOf("a"),
                phases = listOf(OrderPhase.ORDERED, OrderPhase.WAITS_FOR_TURN, OrderPhase.ORDERED),
            ),
            Case(
                "one order at a time",
                listOf(testView("a", "y").reporting(OrderState.RUNNING)),
                emptyList(),
                phases = listOf(OrderPhase.ORDERED),
            ),
            Case(
                "drain first",
                listOf(testView("a", version = "2")),
                emptyList(),
                excluded = setOf("a"),
                phases = listOf(OrderPhase.DRAINING),
            ),
            Case(
                "drained",
                listOf(testView("a", version = "2").copy(drained = true)),
                listOf("a"),
                excluded = setOf("a"),
                phases = listOf(OrderPhase.ORDERED),
            ),
            Case(
                "two drains at a time",
                listOf(testView("a", version = "2"), testView("b", version = "2"), testView("c", version = "2")),
                emptyList(),
                excluded = setOf("a", "b"),
                phases = listOf(OrderPhase.DRAINING, OrderPhase.DRAINING, OrderPhase.WAITS_FOR_TURN),
            ),
            Case(
                "no placements while a disruptive order runs",
                listOf(testView("a").reporting(OrderState.RUNNING, action = "version")),
                emptyList(),
                excluded = setOf("a"),
                phases = listOf(OrderPhase.ORDERED),
            ),
            Case(
                "failed load of the previous owner",
                listOf(testView("a", "x").reporting(OrderState.FAILED)),
                emptyList(),
                phases = listOf(OrderPhase.WAITS_AFTER_REFUSAL),
            ),
            Case(
                "no report",
                listOf(testView("a", "x", load = null)),
                emptyList(),
                phases = listOf(OrderPhase.UNREACHABLE),
            ),
            Case(
                "no state in the report",
                listOf(testView("a", "x", load = testLoad.copy(role = null))),
                emptyList(),
                phases = listOf(OrderPhase.NOT_REPORTED),
            ),
        )

    /** Guards against orders that are given too early or while requests still run. */
    @TestFactory
    fun ordersAreGivenInTurn(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.name) {
                val orders = CellOrders(shard = 0, ownerEpoch = 3, actingSince = 0, tokens = FencingTokens())
                val decision = orders.decide(case.views, lease, null, now)
                assertEquals(case.orders, decision.orders.map { it.upstream.name })
                assertEquals(case.excluded, decision.excluded)
                assertEquals(case.phases, orders.status.map { it.phase })
            }
        }

    /** Guards against orders, or drains for them, by an owner that may not give orders. */
    @Test
    fun ownerWithoutConfirmedLeaseGivesNoOrder() {
        val views = listOf(testView("a", "x"), testView("b", version = "2").copy(drained = true))
        val none = OrderDecision(emptySet(), emptyList())
        assertEquals(none, orders.decide(views, null, null, now))
        assertEquals(none, orders.decide(views, lease.copy(confirmed = false), null, now))
        assertEquals(OrderPhase.WAITS_FOR_LEASE, orders.status.first().phase)
        assertEquals(none, orders.decide(views, lease, null, OrderTiming.START_DELAY_NANOS - 1))
        assertEquals(2, orders.decide(views, lease, null, now).orders.size)
    }

    /** Guards against a second order while the outcome of the first is unknown, and against waiting forever. */
    @Test
    fun unansweredOrderIsRetriedIfNeverReported() {
        val view = testView("a", "x")
        val first = decide(view).single()
        orders.recordOutcome(first, OrderOutcome.Unknown("no answer"), now)
        now += ReplicaOrders.UNREPORTED_NANOS
        assertEquals(emptyList<PlannedOrder>(), decide(view))
        now += 1
        val second = decide(view).single()
        assertTrue(second.order.fence > first.order.fence)
        assertEquals("load_adapter x: no answer", orders.status.single().lastRefusal)
    }

    /** Guards against a replica that stays busy after its order has finished or its engine has restarted. */
    @Test
    fun theReportEndsAnOrder() {
        val view = testView("a", "x")
        val done = { order: EngineOrder -> view.reporting(OrderState.DONE, order.fence) }
        val ended: List<(EngineOrder) -> ReplicaView> =
            listOf(done, { view.copy(load = testLoad.copy(incarnation = 2)) })
        ended.forEach { report ->
            val order = decide(view).single()
            orders.recordOutcome(order, OrderOutcome.Accepted, now)
            assertEquals(emptyList<PlannedOrder>(), decide(view), "the report lags")
            assertEquals(emptyList<PlannedOrder>(), decide(view.reporting(OrderState.RUNNING, order.order.fence)))
            val next = decide(report(order.order)).single()
            orders.recordOutcome(next, OrderOutcome.NotSent("refused"), now)
        }
    }

    /** Guards against a failed load that is retried immediately and endlessly, or that is not shown. */
    @Test
    fun failedLoadIsShownAndRetriedAfterDelay() {
        val order = decide(testView("a", "x")).single()
        orders.recordOutcome(order, OrderOutcome.Accepted, now)
        val failed = testView("a", "x").reporting(OrderState.FAILED, order.order.fence)
        assertEquals(emptyList<PlannedOrder>(), decide(failed))
        assertEquals("load_adapter x: no memory", orders.status.single().lastRefusal)
        now += ReplicaOrders.RETRY_NANOS - 1
        assertEquals(emptyList<PlannedOrder>(), decide(failed))
        now += 1
        assertEquals(1, decide(failed).size)
    }

    /** Guards against an owner that continues after an engine has seen a higher fencing token (P12). */
    @Test
    fun refusedTokenStopsOrdersUntilMapIsRead() {
        val view = testView("a", "x")
        val order = decide(view).single()
        orders.recordOutcome(order, OrderOutcome.StaleToken("fence is old"), now)
        val refusedAt = now
        now += 2 * ReplicaOrders.RETRY_NANOS
        listOf(null, refusedAt - 1, refusedAt).forEach { readAt ->
            assertEquals(emptyList<PlannedOrder>(), decide(view, readAt))
            assertEquals(OrderPhase.STOPPED, orders.status.single().phase)
            assertTrue(orders.needsMapRead)
        }
        assertEquals(1, decide(view, mapReadStartedAt = refusedAt + 1).size)
        assertFalse(orders.needsMapRead)
    }

    private fun decide(view: ReplicaView, mapReadStartedAt: Long? = null) =
        orders.decide(listOf(view), lease, mapReadStartedAt, now).orders
}
