package fireflyhinge.daemon.cell

import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.HeldRequest
import fireflyhinge.engine.Holder
import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.peer.TicketBatch
import fireflyhinge.peer.TicketReply
import fireflyhinge.schedule.Cancellation
import fireflyhinge.schedule.Cell
import fireflyhinge.schedule.CellKey
import fireflyhinge.schedule.SchedulerSettings
import fireflyhinge.schedule.ticketId
import fireflyhinge.schedule.update
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import java.util.concurrent.CompletableFuture
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Runs one cell under one epoch: holds its lock and the requesters that wait for a reply. [isActing] is checked before
 * each decision.
 */
internal class CellRuntime(
    val key: CellKey,
    val epoch: Long,
    private val clock: MonotonicClock,
    settings: SchedulerSettings,
    isDead: (Holder) -> Boolean = { false },
    private val isActing: () -> Boolean,
) {
    private val lock = ReentrantLock()
    private val cell = Cell(epoch = epoch, startedAt = clock.millis(), settings = settings, isDead = isDead)

    /** The cell's replicas, for the orders sent to their engines. */
    val replicas = CellReplicaAccess(lock, cell.exclusions, clock)
    private val waiters = HashMap<String, CompletableFuture<PlaceReply>>()
    private var retired = false

    /** Replicas whose requests are to be listed at once because some of them may have to be cancelled. */
    val replicasToList: Set<String> get() = lock.withLock { cell.replicasToList }

    /** Applies a new configuration. */
    fun configure(configuration: CellConfiguration) =
        lock.withLock { cell.configure(upstreams = configuration.upstreams, weights = configuration.weights) }

    /** Requests a placement; the future completes with the reply, or with `NotOwner` when the cell is retired. */
    fun requestPlacement(request: PlaceRequest): CompletableFuture<PlaceReply> {
        val future = lock.withLock { register(request) }
        processDue()
        return future
    }

    /** Applies the ticket updates of a holder. */
    fun update(batch: TicketBatch): TicketReply {
        val reply = lock.withLock { cell.update(batch, clock.millis()) }
        if (batch.updates.any { it.released }) processDue()
        return reply
    }

    /** Makes the decisions that are due and completes the futures of their requesters. */
    fun processDue() {
        val replies = lock.withLock { decide() }
        replies.forEach { (future, reply) -> future.complete(reply) }
    }

    /** Records the [load] of a replica; null means that it did not answer. */
    fun recordLoad(replica: String, load: EngineLoad?) =
        lock.withLock { cell.recordLoad(replica, load, clock.millis()) }

    /** Compares the requests that a replica holds with the tickets and returns the orphans to cancel. */
    fun reconcile(replica: String, held: List<HeldRequest>): List<Cancellation> =
        lock.withLock { if (isActing()) cell.reconcile(replica, held, clock.millis()) else emptyList() }

    /** Records a confirmed cancellation. */
    fun recordCancelled(replica: String, id: EngineRequestId) = lock.withLock { cell.recordCancelled(replica, id) }

    /** Stops the cell and answers its waiting requesters with `NotOwner`, so that they look for the new owner. */
    fun retire() {
        val pending =
            lock.withLock {
                retired = true
                waiters.values.toList().also { waiters.clear() }
            }
        pending.forEach { it.complete(PlaceReply.NotOwner(owner = null)) }
    }

    private fun register(request: PlaceRequest): CompletableFuture<PlaceReply> {
        if (retired || !isActing()) return CompletableFuture.completedFuture(PlaceReply.NotOwner(owner = null))
        val reply = cell.requestPlacement(request, clock.millis())
        if (reply != null) return CompletableFuture.completedFuture(reply)
        return waiters.getOrPut(request.ticketId()) { CompletableFuture() }
    }

    private fun decide(): List<Pair<CompletableFuture<PlaceReply>, PlaceReply>> {
        if (retired) return emptyList()
        if (!isActing()) {
            // The requesters look up the current owner. If it is still this daemon, they keep their queue positions.
            val pending = waiters.values.map { it to PlaceReply.NotOwner(owner = null) }
            waiters.clear()
            return pending
        }
        return cell.processDue(clock.millis()).mapNotNull { (id, reply) -> waiters.remove(id)?.let { it to reply } }
    }
}
