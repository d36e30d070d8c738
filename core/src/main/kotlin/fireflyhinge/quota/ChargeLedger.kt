package fireflyhinge.quota

import fireflyhinge.config.Priority
import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.SettleRequest
import java.util.concurrent.TimeUnit

/** The bucket of one (workspace, region) under one epoch, and the charges taken from it. Not thread-safe. */
class ChargeLedger(private val epoch: Long, limits: QuotaLimits, level: Double, now: Long) {
    private val bucket: TokenBucket = TokenBucket(limits, level, at = now, awaited = { charges.awaited })
    private val charges: ReservationTable = ReservationTable(bucket)

    /** Floors of this bucket that the successor may hold. */
    internal val floors = BucketFloors(bucket)

    /** Tokens that may be charged without a wait; negative while reservations wait. */
    val level: Double get() = bucket.level

    /** Lets tokens accrue until [now] under the old limits and then uses [limits]. */
    fun advance(limits: QuotaLimits, now: Long) = bucket.configure(limits, now)

    /** Lets tokens accrue until [now]. */
    fun accrue(now: Long) = bucket.advance(now)

    /**
     * Debits [request] once, however often it is sent. A repeated request learns the wait that remains. If it comes
     * after it could have been used, it is charged anew: tokens that lay unused would otherwise add to a full bucket.
     */
    fun charge(request: ChargeRequest, crashes: Int, now: Long): ChargeReply {
        charges.dropOverdue(now)
        val held = charges[request.chargeId]
        return when {
            charges.isSettled(request.chargeId) -> ChargeReply.RateExceeded(retryAfterMillis = 0L)
            held == null -> chargeAnew(request, crashes, now)
            !held.spent || bucket.past(held.place) <= tolerance -> granted(request.chargeId, held, crashes, now)
            else -> {
                bucket.add(held.tokens)
                chargeAnew(request.copy(tokens = held.tokens), crashes, now)
            }
        }
    }

    private fun chargeAnew(request: ChargeRequest, crashes: Int, now: Long): ChargeReply {
        val depth = bucket.limits.depth
        val wait = bucket.waitForMore(request.tokens)
        val undebited =
            when {
                request.tokens > depth -> ChargeReply.ExceedsBurst(depth)
                wait > longestWait(request) -> ChargeReply.RateExceeded(retryAfterMillis = millis(wait))
                floors.binding(now) > maxOf(0.0, bucket.level - request.tokens) -> blocked(request, crashes)
                else -> null
            }
        if (undebited != null) {
            charges.remove(request.chargeId)
            return undebited
        }
        val made = Reservation(tokens = request.tokens, place = bucket.debit(request.tokens), madeAt = now)
        charges.add(request.chargeId, made)
        return granted(request.chargeId, made, crashes, now)
    }

    /** Lets the asker ask again, by when the successor should hold a lower floor. Nothing is debited. */
    private fun blocked(request: ChargeRequest, crashes: Int): ChargeReply {
        floors.block(request.tokens)
        if (request.maxWaitMillis < FLOOR_WAIT_MILLIS) return ChargeReply.RateExceeded(FLOOR_WAIT_MILLIS)
        return ChargeReply.Granted(epoch = epoch, waitMillis = FLOOR_WAIT_MILLIS, crashes = crashes)
    }

    private fun granted(id: String, held: Reservation, crashes: Int, now: Long): ChargeReply {
        val wait = millis(bucket.waitFor(held.place))
        when {
            held.spent -> Unit
            wait <= FINAL_WAIT_MILLIS -> charges.spend(id)
            else -> charges.postpone(id, dueAt = now + TimeUnit.MILLISECONDS.toNanos(wait))
        }
        return ChargeReply.Granted(epoch = epoch, waitMillis = wait, crashes = crashes)
    }

    /** Returns the unused part of a charge, at most what was charged, and tells how many tokens were put back. */
    fun settle(request: SettleRequest): Double {
        val held = charges.settle(request.chargeId) ?: return 0.0
        return bucket.add(request.unusedTokens.coerceIn(0.0, held.tokens))
    }

    /**
     * Takes up to [tokens] for another region while the level stays above half of the depth. The bucket also gives up
     * what it accrues while the tokens travel, since they are used that much later.
     */
    fun lend(tokens: Double, now: Long): Double {
        val travel = bucket.limits.rate * QuotaLimits.USE_DELAY_SECONDS
        val kept = maxOf(bucket.limits.depth / 2, floors.binding(now))
        val lent = minOf(tokens, bucket.level - travel - kept)
        if (lent <= 0) return 0.0
        bucket.debit(lent + travel)
        bucket.spend(lent + travel)
        return lent
    }

    /** Adds tokens that another region lent. */
    fun addBorrowed(tokens: Double): Double = bucket.add(tokens)

    private val tolerance get() = bucket.limits.rate * LATE_SECONDS

    private fun longestWait(request: ChargeRequest): Long {
        val seconds = if (request.priority == Priority.BATCH) BATCH_WAIT_SECONDS else INTERACTIVE_WAIT_SECONDS
        return minOf(TimeUnit.SECONDS.toNanos(seconds), TimeUnit.MILLISECONDS.toNanos(request.maxWaitMillis))
    }

    private companion object {
        const val INTERACTIVE_WAIT_SECONDS = 1L
        const val BATCH_WAIT_SECONDS = 600L

        /** Part of the 0.25 s between accrual and use that a repeated request may take; the asker uses the rest. */
        const val LATE_SECONDS = 0.01

        /** Askers use a charge after such a wait (up to 90 ms) without asking again. */
        const val FINAL_WAIT_MILLIS = 100L

        /** Long enough that the asker asks again instead of waiting by its own clock; it does so after 86 ms. */
        const val FLOOR_WAIT_MILLIS = 140L
    }
}

/** Milliseconds, rounded up. */
private fun millis(nanos: Long) = (nanos - 1) / NANOS_PER_MILLI + if (nanos > 0) 1 else 0

private const val NANOS_PER_MILLI = 1_000_000L
