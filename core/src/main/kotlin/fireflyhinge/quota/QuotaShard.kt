package fireflyhinge.quota

import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.CrashReport
import fireflyhinge.peer.SettleRequest
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Buckets and crash records of one shard. Each epoch starts new buckets and keeps crash records. Thread-safe. */
class QuotaShard(private val crashes: CrashTracker = CrashTracker()) {
    private val lock = ReentrantLock()
    private val buckets = BucketTable()
    private var floorUpdateRequested = false

    /**
     * Starts [newEpoch] if it is later than the current one; tokens accrue from [now] on. [now] must be read after the
     * check that this process is the owner: before, the previous owner may have used what accrued.
     */
    fun open(newEpoch: Long, now: Long) = lock.withLock { buckets.open(newEpoch, now) }

    /**
     * Charges [request] under [actingEpoch]; null if another epoch is current here. [now] must be read before the check
     * that this process is the owner, so that tokens that accrue after its lease do not count.
     */
    fun charge(request: ChargeRequest, limits: QuotaLimits, actingEpoch: Long, now: Long): ChargeReply? =
        lock.withLock {
            val barred = crashes.barredFor(request.fingerprint, now)
            if (barred != null) return ChargeReply.Barred(retryAfterMillis = TimeUnit.NANOSECONDS.toMillis(barred))
            val ledger = buckets.ledger(request.workspace, limits, actingEpoch, now) ?: return null
            val reply = ledger.charge(request, crashes = crashes.crashes(request.fingerprint, now), now = now)
            floorUpdateRequested = floorUpdateRequested || ledger.floors.needsLower(now)
            reply
        }

    /** Whether a charge since the last call requires lower floors at the successor. Resets the flag. */
    fun takeFloorUpdateRequest(): Boolean = lock.withLock { floorUpdateRequested.also { floorUpdateRequested = false } }

    /** Issues floors to send with [sequence] to the successor under [entryEpoch]; they are in force from [now] on. */
    fun floors(
        limits: Map<String, QuotaLimits>,
        actingEpoch: Long,
        entryEpoch: Long,
        sequence: Long,
        now: Long,
    ): Map<String, Long> =
        lock.withLock {
            limits.mapValues { (workspace, limit) ->
                buckets.ledger(workspace, limit, actingEpoch, now)?.floors?.issue(entryEpoch, sequence, now) ?: 0L
            }.filterValues { it > 0 }
        }

    /** The successor has acknowledged the floors that were sent with [sequence] under [entryEpoch]. */
    fun acknowledged(entryEpoch: Long, sequence: Long) = lock.withLock { buckets.acknowledged(entryEpoch, sequence) }

    /** Stores floors received from the owner, unless newer ones are stored already. */
    fun storeFloors(floors: ReceivedFloors) = lock.withLock { buckets.storeFloors(floors) }

    /** Refunds the unused part of a charge of the current epoch; epoch 0 means that the requester does not know it. */
    fun settle(request: SettleRequest, now: Long): Double =
        lock.withLock {
            if (request.epoch != 0L && request.epoch != buckets.epoch) return 0.0
            val ledger = buckets[request.workspace] ?: return 0.0
            ledger.accrue(now)
            ledger.settle(request)
        }

    /** Lends up to [tokens] of [workspace] to another region; returns how many. */
    fun lend(workspace: String, tokens: Double, limits: QuotaLimits, actingEpoch: Long, now: Long): Double =
        lock.withLock { buckets.ledger(workspace, limits, actingEpoch, now)?.lend(tokens, now) ?: 0.0 }

    /** Adds [tokens] that another region lent to [workspace], if [actingEpoch] is still current. */
    fun addBorrowed(workspace: String, tokens: Double, actingEpoch: Long, now: Long): Double =
        lock.withLock {
            val ledger = if (actingEpoch == buckets.epoch) buckets[workspace] else null
            ledger?.accrue(now)
            ledger?.addBorrowed(tokens) ?: 0.0
        }

    /** Records a replica crash. */
    fun recordCrash(report: CrashReport, now: Long) = lock.withLock { crashes.report(report, now) }
}
