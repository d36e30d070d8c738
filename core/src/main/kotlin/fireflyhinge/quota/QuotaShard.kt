package fireflyhinge.quota

import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.CrashReport
import fireflyhinge.peer.SettleRequest
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Buckets and crash records of one shard. Buckets start anew with each epoch; crash records stay. Thread-safe. */
class QuotaShard(private val crashes: CrashTracker = CrashTracker()) {
    private val lock = ReentrantLock()
    private val buckets = BucketTable()
    private var renewal = false

    /**
     * Starts [newEpoch] if it is later than the one in force; tokens accrue from [now] on. That time must be read
     * after this process was seen to act: before, the previous owner may have used what accrued.
     */
    fun open(newEpoch: Long, now: Long) = lock.withLock { buckets.open(newEpoch, now) }

    /**
     * Charges [request] under [actingEpoch]; null if another epoch is in force here. [now] must be read before this
     * process was seen to act, so that no tokens count that accrue after its lease.
     */
    fun charge(request: ChargeRequest, limits: QuotaLimits, actingEpoch: Long, now: Long): ChargeReply? =
        lock.withLock {
            val barred = crashes.barredFor(request.fingerprint, now)
            if (barred != null) return ChargeReply.Barred(retryAfterMillis = TimeUnit.NANOSECONDS.toMillis(barred))
            val book = buckets.book(request.workspace, limits, actingEpoch, now) ?: return null
            val reply = book.charge(request, crashes = crashes.crashes(request.fingerprint, now), now = now)
            renewal = renewal || book.floors.needsLower(now)
            reply
        }

    /** Whether a charge since the last call asked for new floors at the successor. */
    fun takeFloorUpdateRequest(): Boolean = lock.withLock { renewal.also { renewal = false } }

    /** Floors to send with [sequence] to the successor in the entry of [entryEpoch]; they bind from [now] on. */
    fun floors(
        limits: Map<String, QuotaLimits>,
        actingEpoch: Long,
        entryEpoch: Long,
        sequence: Long,
        now: Long,
    ): Map<String, Long> =
        lock.withLock {
            limits.mapValues { (workspace, limit) ->
                buckets.book(workspace, limit, actingEpoch, now)?.floors?.send(entryEpoch, sequence, now) ?: 0L
            }.filterValues { it > 0 }
        }

    /** The successor holds the floors that were sent with [sequence] under [entryEpoch]. */
    fun acknowledged(entryEpoch: Long, sequence: Long) = lock.withLock { buckets.acknowledged(entryEpoch, sequence) }

    /** Keeps the floors that the owner sent, unless newer ones are held. */
    fun storeFloors(floors: ReceivedFloors) = lock.withLock { buckets.storeFloors(floors) }

    /** Returns the unused part of a charge of the same epoch; an epoch of 0 stands for one the asker never learned. */
    fun settle(request: SettleRequest, now: Long): Double =
        lock.withLock {
            if (request.epoch != 0L && request.epoch != buckets.epoch) return 0.0
            val book = buckets[request.workspace] ?: return 0.0
            book.accrue(now)
            book.settle(request)
        }

    /** Takes up to [tokens] of [workspace] for another region. */
    fun lend(workspace: String, tokens: Double, limits: QuotaLimits, actingEpoch: Long, now: Long): Double =
        lock.withLock { buckets.book(workspace, limits, actingEpoch, now)?.lend(tokens, now) ?: 0.0 }

    /** Adds [tokens] that another region lent to [workspace] while [actingEpoch] was in force. */
    fun addBorrowed(workspace: String, tokens: Double, actingEpoch: Long, now: Long): Double =
        lock.withLock {
            val book = if (actingEpoch == buckets.epoch) buckets[workspace] else null
            book?.accrue(now)
            book?.addBorrowed(tokens) ?: 0.0
        }

    /** Records a crash. */
    fun recordCrash(report: CrashReport, now: Long) = lock.withLock { crashes.report(report, now) }
}
