package fireflyhinge.daemon.order

import fireflyhinge.config.Upstream
import fireflyhinge.config.UpstreamRole
import fireflyhinge.daemon.engine.HttpEngineClient
import fireflyhinge.daemon.engine.value
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.engine.EngineClient
import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.EngineResult
import fireflyhinge.lease.LeaseTimes
import fireflyhinge.standin.EngineServer
import fireflyhinge.standin.engine.EngineSettings
import fireflyhinge.time.MonotonicClock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicLong

class PausedOwnerTest {
    private val time = AtomicLong()
    private val clock = MonotonicClock { time.get() }
    private val engine = EngineServer(EngineSettings(UpstreamRole.DECODE, checksFence = false))
    private val http = OutboundHttp()
    private val client = HttpEngineClient(http)
    private val times = LeaseTimes()

    @AfterEach
    fun close() {
        http.close()
        engine.close()
    }

    /** Guards against an order that a paused owner sends after the pause, once a newer owner has given one (P12). */
    @Test
    fun anOwnerPausedAfterItsDecisionSendsNothing() {
        val old = owner(epoch = 3, adapter = "old")
        val planned = old.ordering.decide().single()
        newerOwnerOrders()
        old.ordering.send(planned)
        assertEquals(listOf("new"), engine.orders.map { it.argument })
        // The engine ignores tokens: only the owner's check keeps the older order away.
        client.sendOrder(engine.address, planned.order).value()
        assertEquals(listOf("new", "old"), engine.orders.map { it.argument })
    }

    /** Guards against a check of the lease that is made before the connection is open (P12). */
    @Test
    fun anOwnerPausedWhileItConnectsSendsNothing() {
        val pausing =
            object : EngineClient by client {
                override fun sendOrder(
                    address: String,
                    order: EngineOrder,
                    permitted: () -> Boolean,
                ): EngineResult<Unit> =
                    client.sendOrder(address, order) {
                        if (engine.orders.isEmpty()) newerOwnerOrders()
                        permitted()
                    }
            }
        val old = owner(epoch = 3, adapter = "old", engines = pausing)
        old.ordering.decide().forEach(old.ordering::send)
        assertEquals(listOf("new"), engine.orders.map { it.argument })
    }

    /** Guards against an order that is sent so late in the lease that it may reach the engine after its end (P12). */
    @Test
    fun anOrderNeedsAMarginOfTheLease() {
        val owner = owner(epoch = 3, adapter = "x")
        val planned = owner.ordering.decide().single()
        time.set(times.ownerLeaseNanos - MARGIN_NANOS + 1)
        owner.ordering.send(planned)
        assertEquals(emptyList<EngineOrder>(), engine.orders)
        time.set(times.ownerLeaseNanos - MARGIN_NANOS)
        owner.ordering.send(planned)
        assertEquals(listOf(planned.order), engine.orders)
    }

    /** Lets the older owner's lease end, and a newer one act and give an order. */
    private fun newerOwnerOrders() {
        time.addAndGet(times.successorWaitNanos)
        val newer = owner(epoch = 4, adapter = "new")
        newer.ordering.decide().forEach(newer.ordering::send)
    }

    /** An owner past its first 1.5 s that is to load [adapter]. */
    private fun owner(epoch: Long, adapter: String, engines: EngineClient = client): OwnerFixture {
        val upstream =
            Upstream(
                name = "u",
                service = "m",
                role = UpstreamRole.DECODE,
                address = engine.address,
                region = "r",
                failureDomain = "d",
                checksFence = false,
                adapters = listOf(adapter),
            )
        val owner = OwnerFixture(engines, clock, upstream, epoch, leaseNanos = times.ownerLeaseNanos)
        time.addAndGet(MARGIN_NANOS)
        // The engine has none of the adapters, whatever it was ordered before.
        owner.report(client.readLoad(engine.address).value().copy(adapters = emptySet(), order = null))
        return owner
    }

    private companion object {
        const val MARGIN_NANOS = 1_500_000_000L
    }
}
