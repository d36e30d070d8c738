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
 * One cell under one epoch with its lock and the askers that wait for an answer. [acting] is checked before each
 * decision.
 */
internal class CellRuntime(
    val key: CellKey,
    val epoch: Long,
    private val clock: MonotonicClock,
    settings: SchedulerSettings,
    dead: (Holder) -> Boolean = { false },
    private val acting: () -> Boolean,
) {
    private val lock = ReentrantLock()
    private val cell = Cell(epoch = epoch, startedAt = clock.millis(), settings = settings, isDead = dead)

    /** The cell's replicas for orders to their engines. */
    val replicas = CellReplicaAccess(lock, cell.exclusions, clock)
    private val waiters = HashMap<String, CompletableFuture<PlaceReply>>()
    private var retired = false

    /** Replicas to list at once, because they may hold requests that are to be cancelled. */
    val overdue: Set<String> get() = lock.withLock { cell.replicasToList }

    /** Takes a new configuration. */
    fun configure(configuration: CellConfiguration) =
        lock.withLock { cell.configure(upstreams = configuration.upstreams, weights = configuration.weights) }

    /** Asks for a placement; the future completes with the answer, or with `NotOwner` when the cell is given up. */
    fun ask(request: PlaceRequest): CompletableFuture<PlaceReply> {
        val future = lock.withLock { register(request) }
        pump()
        return future
    }

    /** Applies a holder's reports. */
    fun update(batch: TicketBatch): TicketReply {
        val reply = lock.withLock { cell.update(batch, clock.millis()) }
        if (batch.updates.any { it.released }) pump()
        return reply
    }

    /** Makes the decisions that are due and answers the askers. */
    fun pump() {
        val answers = lock.withLock { decide() }
        answers.forEach { (future, reply) -> future.complete(reply) }
    }

    /** Takes a load report; null if the replica did not answer. */
    fun report(replica: String, load: EngineLoad?) = lock.withLock { cell.recordLoad(replica, load, clock.millis()) }

    /** Takes a list of held requests and returns the orphans among them. */
    fun held(replica: String, held: List<HeldRequest>): List<Cancellation> =
        lock.withLock { if (acting()) cell.reconcile(replica, held, clock.millis()) else emptyList() }

    /** Records a confirmed cancellation. */
    fun cancelled(replica: String, id: EngineRequestId) = lock.withLock { cell.recordCancelled(replica, id) }

    /** Gives the cell up and sends its askers to the new owner. */
    fun retire() {
        val left =
            lock.withLock {
                retired = true
                waiters.values.toList().also { waiters.clear() }
            }
        left.forEach { it.complete(PlaceReply.NotOwner(owner = null)) }
    }

    private fun register(request: PlaceRequest): CompletableFuture<PlaceReply> {
        if (retired || !acting()) return CompletableFuture.completedFuture(PlaceReply.NotOwner(owner = null))
        val answer = cell.requestPlacement(request, clock.millis())
        if (answer != null) return CompletableFuture.completedFuture(answer)
        return waiters.getOrPut(request.ticketId()) { CompletableFuture() }
    }

    private fun decide(): List<Pair<CompletableFuture<PlaceReply>, PlaceReply>> {
        if (retired) return emptyList()
        if (!acting()) {
            // The askers look for the present owner; if it is still this daemon, they keep their places.
            val left = waiters.values.map { it to PlaceReply.NotOwner(owner = null) }
            waiters.clear()
            return left
        }
        return cell.processDue(clock.millis()).mapNotNull { (id, reply) -> waiters.remove(id)?.let { it to reply } }
    }
}
