package fireflyhinge.quota

import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.CrashReport
import fireflyhinge.peer.SettleRequest
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Buckets and crash records of one shard. Buckets start empty with each epoch; crash records stay. Thread-safe. */
class QuotaShard(private val crashes: CrashBook = CrashBook()) {
    private val lock = ReentrantLock()
    private val books = HashMap<String, ChargeBook>()
    private var epoch = NO_EPOCH
    private var openedAt = 0L

    /**
     * Starts [newEpoch] if it is later than the one in force; tokens accrue from [now] on. That time must be read
     * after this process was seen to act: before, the previous owner may have used what accrued.
     */
    fun open(newEpoch: Long, now: Long) =
        lock.withLock {
            if (newEpoch > epoch) {
                epoch = newEpoch
                openedAt = now
                books.clear()
            }
        }

    /**
     * Charges [request] under [actingEpoch]; null if another epoch is in force here. [now] must be read before this
     * process was seen to act, so that no tokens count that accrue after its lease.
     */
    fun charge(request: ChargeRequest, limits: QuotaLimits, actingEpoch: Long, now: Long): ChargeReply? =
        lock.withLock {
            val barred = crashes.barredFor(request.fingerprint, now)
            when {
                barred != null -> ChargeReply.Barred(retryAfterMillis = TimeUnit.NANOSECONDS.toMillis(barred))
                else ->
                    book(request.workspace, limits, actingEpoch, now)
                        ?.charge(request, suspect = crashes.isSuspect(request.fingerprint, now), now = now)
            }
        }

    /** Returns the unused part of a charge of the same epoch; an epoch of 0 stands for one the asker never learned. */
    fun settle(request: SettleRequest, now: Long): Double =
        lock.withLock {
            if (request.epoch != 0L && request.epoch != epoch) return 0.0
            val book = books[request.workspace] ?: return 0.0
            book.accrue(now)
            book.settle(request)
        }

    /** Takes up to [tokens] of [workspace] for another region. */
    fun lend(workspace: String, tokens: Double, limits: QuotaLimits, actingEpoch: Long, now: Long): Double =
        lock.withLock { book(workspace, limits, actingEpoch, now)?.lend(tokens) ?: 0.0 }

    /** Adds [tokens] that another region lent to [workspace] while [actingEpoch] was in force. */
    fun borrow(workspace: String, tokens: Double, actingEpoch: Long, now: Long): Double =
        lock.withLock {
            val book = if (actingEpoch == epoch) books[workspace] else null
            book?.accrue(now)
            book?.borrow(tokens) ?: 0.0
        }

    /** Records a crash. */
    fun crashed(report: CrashReport, now: Long) = lock.withLock { crashes.report(report, now) }

    private fun book(workspace: String, limits: QuotaLimits, actingEpoch: Long, now: Long): ChargeBook? {
        if (actingEpoch != epoch) return null
        val book = books.getOrPut(workspace) { ChargeBook(epoch, limits, level = 0.0, now = openedAt) }
        book.advance(limits, now)
        return book
    }

    private companion object {
        const val NO_EPOCH = 0L
    }
}
