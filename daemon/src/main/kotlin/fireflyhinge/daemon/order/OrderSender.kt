package fireflyhinge.daemon.order

import fireflyhinge.engine.EngineClient
import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineResult
import fireflyhinge.lease.ActingLease
import fireflyhinge.lease.ShardLeases
import fireflyhinge.lease.ShardOwnership
import fireflyhinge.order.CellOrders
import fireflyhinge.order.FencingTokens
import fireflyhinge.order.OrderOutcome
import fireflyhinge.order.PlannedOrder
import fireflyhinge.schedule.CellKey
import fireflyhinge.time.MonotonicClock
import org.slf4j.LoggerFactory

/** Sends the orders that cells decide on, if the lease still permits it when the connection is open. */
internal class OrderSender(
    private val engines: EngineClient,
    private val ownership: ShardOwnership,
    private val clock: MonotonicClock,
) {
    private val tokens = FencingTokens()

    /** The leases that orders depend on. */
    val leases: ShardLeases get() = ownership.leases

    /** Present time in monotonic nanoseconds. */
    fun now(): Long = clock.nanos()

    /** Orders of a cell whose owner begins to act under [ownerEpoch] now. */
    fun ordersOf(cell: CellKey, ownerEpoch: Long) =
        CellOrders(shardOf(cell), ownerEpoch = ownerEpoch, actingSince = clock.nanos(), tokens = tokens)

    /** The present lease for [cell], or null. */
    fun lease(cell: CellKey): ActingLease? = leases.of(shardOf(cell))

    /** Sends [planned]; [permitted] is asked last. Blocks for about 2 s at most. */
    fun send(planned: PlannedOrder, permitted: () -> Boolean): OrderOutcome {
        val upstream = planned.upstream
        // Tickets that lapsed may have left requests at the engine.
        val free =
            !planned.disruptive ||
                (engines.listHeldRequests(upstream.address) as? EngineResult.Ok)?.value?.isEmpty() == true
        if (!free) return OrderOutcome.NotSent("the engine holds requests or does not list them")
        val outcome = outcomeOf(engines.sendOrder(upstream.address, planned.order, permitted))
        log.info("order {} to {}: {}", planned.order, upstream.name, outcome)
        return outcome
    }

    private fun shardOf(cell: CellKey) = ownership.shardOf(cell.toString())

    private fun outcomeOf(result: EngineResult<Unit>): OrderOutcome =
        when (val failure = (result as? EngineResult.Failed)?.failure) {
            null -> OrderOutcome.Accepted
            is EngineFailure.Unreachable -> OrderOutcome.NotSent(failure.reason)
            is EngineFailure.Refused ->
                if (failure.status == STALE) {
                    OrderOutcome.StaleToken(failure.reason)
                } else {
                    OrderOutcome.Refused("status ${failure.status}: ${failure.reason}")
                }
            is EngineFailure.Broken -> OrderOutcome.Unknown(failure.reason)
            is EngineFailure.Expired -> OrderOutcome.Unknown(failure.reason)
            EngineFailure.Cancelled -> OrderOutcome.Unknown("the wait for the answer was interrupted")
        }

    private companion object {
        /** Status of an engine that knows a higher fencing token. */
        const val STALE = 412
        val log = LoggerFactory.getLogger(OrderSender::class.java)!!
    }
}
