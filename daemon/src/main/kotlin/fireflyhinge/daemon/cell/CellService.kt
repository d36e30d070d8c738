package fireflyhinge.daemon.cell

import fireflyhinge.config.ConfigSource
import fireflyhinge.daemon.order.OrderLoop
import fireflyhinge.daemon.order.OrderSender
import fireflyhinge.engine.EngineClient
import fireflyhinge.lease.ShardOwnership
import fireflyhinge.membership.Membership
import fireflyhinge.order.ReplicaOrderStatus
import fireflyhinge.peer.PeerEndpoint
import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.peer.TicketBatch
import fireflyhinge.peer.TicketReply
import fireflyhinge.schedule.CellKey
import fireflyhinge.schedule.RefusalReason
import fireflyhinge.schedule.SchedulerSettings
import fireflyhinge.time.MonotonicClock
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Owner side of the scheduler: serves the cells of this daemon's region that it may act for. */
class CellService(
    private val ownership: ShardOwnership,
    config: ConfigSource,
    membership: Membership,
    engines: EngineClient,
    clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val settings: SchedulerSettings = SchedulerSettings(),
) : AutoCloseable {
    private val self = membership.self()
    private val region = self.region
    private val plans = CellPlans(config)
    private val cells = ActingCells(ownership, plans, membership, clock, settings)
    private val loops = CellLoops(cells, engines, clock)
    private val orders = OrderLoop({ cells.all }, OrderSender(engines, ownership, clock), self.id)

    /** Endpoints to serve on the control API. */
    fun endpoints(): List<PeerEndpoint<*>> =
        listOf(
            PeerEndpoint(path = PLACE_PATH, type = PlaceRequest::class.java, handle = ::place),
            PeerEndpoint(path = TICKETS_PATH, type = TicketBatch::class.java, handle = ::updateTickets),
            orders.endpoint,
        )

    /** Starts the loops that place waiting requests and read the engines. */
    fun start() {
        loops.start()
        orders.start()
    }

    /** Stops the loops and answers waiting requesters with `NotOwner`. */
    override fun close() {
        orders.close()
        loops.close()
        cells.retireAll()
    }

    /** Progress of the replicas of this daemon's cells towards their desired states. */
    val orderStatus: List<ReplicaOrderStatus> get() = orders.status

    /** Whether this daemon may act for [cell] of its own region now. */
    internal fun actsFor(cell: CellKey): Boolean = cells.runtimeOf(cell) != null

    /** Requests a placement without blocking. */
    internal fun requestPlacement(request: PlaceRequest): CompletableFuture<PlaceReply> {
        val plan = plans.plan(request.service, region)
        if (plan.cellCount == 0) return CompletableFuture.completedFuture(noReplica())
        val cell = plan.cellOfRequest(request.requestId)
        val runtime = cells.runtimeOf(cell)
        return runtime?.requestPlacement(request) ?: CompletableFuture.completedFuture(notOwner(cell))
    }

    /** Applies the ticket updates of a holder. */
    internal fun updateTickets(batch: TicketBatch): TicketReply {
        val cell = CellKey(service = batch.service, number = batch.cell)
        return cells.runtimeOf(cell)?.update(batch) ?: TicketReply(acting = false, owner = notOwner(cell).owner)
    }

    private fun place(request: PlaceRequest): PlaceReply =
        try {
            requestPlacement(request).get(LONG_POLL_MILLIS, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            PlaceReply.Waiting()
        }

    private fun notOwner(cell: CellKey) =
        PlaceReply.NotOwner(owner = ownership.ownerOf(region, ownership.shardOf(cell.toString())))

    private fun noReplica() = RefusalReason.NO_REPLICA.reply(settings.firstTokenMillis)

    companion object {
        /** Path of the placement message. */
        const val PLACE_PATH = "/peer/v1/place"

        /** Path of the ticket message. */
        const val TICKETS_PATH = "/peer/v1/tickets"

        /** A reply is sent within this time, so that requesters can tell a dead connection (3 s) from a long wait. */
        internal const val LONG_POLL_MILLIS = 2_000L
    }
}
