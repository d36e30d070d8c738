package fireflyhinge.daemon.engine

import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.OrderState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EngineOrderCallTest {
    /** Guards against orders of a former owner that take effect where the engine checks fencing numbers (P12). */
    @Test
    fun staleFenceIsRefusedOnlyWhereItIsChecked() {
        listOf(true, false).forEach { checks ->
            EngineFixture(change = { it.copy(checksFence = checks) }).use { f ->
                val give = { fence: Long ->
                    f.client.sendOrder(f.decode.address, EngineOrder(fence = fence, action = "version", argument = "2"))
                }
                give(5).value()
                give(5).value()
                val stale = give(4)
                if (checks) assertEquals(412, (stale.failure() as EngineFailure.Refused).status) else stale.value()
            }
        }
    }

    /** Guards against an order that is sent though its right ended while the connection was opened (P12). */
    @Test
    fun anOrderThatIsNotPermittedIsNotSent() =
        EngineFixture().use { f ->
            val order = EngineOrder(fence = 1, action = "version", argument = "2")
            val result = f.client.sendOrder(f.decode.address, order) { false }
            assertInstanceOf(EngineFailure.Unreachable::class.java, result.failure())
            assertEquals(emptyList<Any>(), f.decode.orders + f.decode.received.list())
        }

    /** Guards against an order that is still under way when the margin of the lease has passed (P12). */
    @Test
    fun anOrderWithoutAnAnswerIsAbandonedAfterASecond() =
        EngineFixture().use { f ->
            f.client.readLoad(f.decode.address).value()
            f.decode.silenceOpenConnections()
            val start = System.nanoTime()
            val order = EngineOrder(fence = 1, action = "version", argument = "2")
            assertInstanceOf(EngineFailure.Broken::class.java, f.client.sendOrder(f.decode.address, order).failure())
            val millis = (System.nanoTime() - start) / 1_000_000
            assertTrue(millis < 1_400, "abandoned after $millis ms")
            assertEquals(emptyList<EngineOrder>(), f.decode.orders)
        }

    /** Guards against a load whose progress or failure does not reach the owner, and against two orders at once. */
    @Test
    fun theReportShowsStateAndProgressOfOrders() =
        EngineFixture(change = { it.copy(orderLoadMillis = 300, loadLagMillis = 0) }).use { f ->
            val address = f.decode.address
            fun give(fence: Long, model: String) = f.client.sendOrder(address, EngineOrder(fence, "load_model", model))
            fun awaitState(state: OrderState): EngineLoad {
                var load = f.client.readLoad(address).value()
                while (load.order?.state != state) load = f.client.readLoad(address).value()
                return load
            }
            give(1, "a").value()
            assertEquals(emptySet<String>(), awaitState(OrderState.RUNNING).models)
            assertEquals(409, (give(2, "b").failure() as EngineFailure.Refused).status)
            assertEquals(setOf("a"), awaitState(OrderState.DONE).models)
            f.decode.faults.failLoads = setOf("b")
            give(3, "b").value()
            val failed = awaitState(OrderState.FAILED)
            assertEquals(setOf("a") to 3L, failed.models to failed.order?.fence)
        }
}
