package fireflyhinge.daemon.order

import fireflyhinge.daemon.cell.CellRuntime
import fireflyhinge.daemon.cell.DaemonThreadFactory
import fireflyhinge.daemon.cell.LoopTask
import fireflyhinge.order.ReplicaOrderStatus
import fireflyhinge.peer.PeerEndpoint
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Gives orders to the engines of this daemon's cells, every [PASS_MILLIS].
 *
 * @param cells the running cells.
 * @param vm this VM, named in the status.
 */
internal class OrderLoop(
    private val cells: () -> Collection<CellRuntime>,
    private val sender: OrderSender,
    private val vm: String,
) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor(DaemonThreadFactory("order-timer"))
    private val workers = Executors.newCachedThreadPool(DaemonThreadFactory("order-send"))

    @Volatile
    private var orderings: Map<CellRuntime, CellOrdering> = emptyMap()

    /** Tells other daemons the progress of the replicas in this daemon's cells. */
    val endpoint =
        PeerEndpoint(OrderStatusRequest.PATH, OrderStatusRequest::class.java) { request ->
            OrderStatusAnswer(status.filter { request.upstream == null || it.upstream == request.upstream })
        }

    /** Progress of the replicas in cells for which this daemon acts now. */
    val status: List<ReplicaOrderStatus>
        get() =
            orderings.filterKeys { sender.lease(it.key) != null }.values.flatMap { it.status }
                .map { it.copy(owner = vm) }

    /** Starts the loop. */
    fun start() {
        timer.scheduleWithFixedDelay(LoopTask("order loop", ::pass), 0, PASS_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        timer.shutdownNow()
        workers.shutdownNow()
    }

    private fun pass() {
        orderings = cells().associateWith { orderings[it] ?: CellOrdering(it, sender) }
        orderings.values.forEach { ordering ->
            ordering.decide().forEach { planned ->
                workers.execute(LoopTask("engine order") { ordering.send(planned) })
            }
        }
    }

    private companion object {
        const val PASS_MILLIS = 200L
    }
}
