package fireflyhinge.quota

import fireflyhinge.config.Priority
import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.SettleRequest
import java.util.concurrent.TimeUnit

/** Token bucket of one workspace in one region under one epoch, and the charges debited from it. Not thread-safe. */
class ChargeLedger(private val epoch: Long, limits: QuotaLimits, level: Double, now: Long) {
    private val bucket: TokenBucket =
        TokenBucket(limits, level, updatedAt = now, nextReserved = { charges.nextReserved })
    private val charges: ReservationTable = ReservationTable(bucket)

    /** Floors of this bucket that were sent to the successor. */
    internal val floors = BucketFloors(bucket)

    /** Tokens that can be charged without a wait; negative while reservations wait. */
    val level: Double get() = bucket.level

    /** Accrues tokens until [now] under the old limits, then applies [limits]. */
    fun advance(limits: QuotaLimits, now: Long) = bucket.configure(limits, now)

    /** Accrues tokens until [now]. */
    fun accrue(now: Long) = bucket.advance(now)

    /**
     * Debits [request]; idempotent by its charge id. A repeated request gets the remaining wait. A repetition that
     * comes too late to use the reserved tokens is charged again: unused reserved tokens would add to a full bucket.
     */
    fun charge(request: ChargeRequest, crashes: Int, now: Long): ChargeReply {
        charges.dropOverdue(now)
        val held = charges[request.chargeId]
        return when {
            charges.isSettled(request.chargeId) -> ChargeReply.RateExceeded(retryAfterMillis = 0L)
            held == null -> chargeNew(request, crashes, now)
            !held.spent || bucket.supplyBeyond(held.position) <= tolerance ->
                granted(request.chargeId, held, crashes, now)

            else -> {
                bucket.add(held.tokens)
                chargeNew(request.copy(tokens = held.tokens), crashes, now)
            }
        }
    }

    private fun chargeNew(request: ChargeRequest, crashes: Int, now: Long): ChargeReply {
        val depth = bucket.limits.depth
        val wait = bucket.waitForMore(request.tokens)
        val undebitedReply =
            when {
                request.tokens > depth -> ChargeReply.ExceedsBurst(depth)
                wait > longestWait(request) -> ChargeReply.RateExceeded(retryAfterMillis = millis(wait))
                floors.bindingFloor(now) > maxOf(0.0, bucket.level - request.tokens) -> blocked(request, crashes)
                else -> null
            }
        if (undebitedReply != null) {
            charges.remove(request.chargeId)
            return undebitedReply
        }
        val reservation = Reservation(tokens = request.tokens, position = bucket.debit(request.tokens), createdAt = now)
        charges.add(request.chargeId, reservation)
        return granted(request.chargeId, reservation, crashes, now)
    }

    /** Makes the requester retry later, when the successor should have a lower floor. Nothing is debited. */
    private fun blocked(request: ChargeRequest, crashes: Int): ChargeReply {
        floors.recordBlocked(request.tokens)
        if (request.maxWaitMillis < FLOOR_WAIT_MILLIS) return ChargeReply.RateExceeded(FLOOR_WAIT_MILLIS)
        return ChargeReply.Granted(epoch = epoch, waitMillis = FLOOR_WAIT_MILLIS, crashes = crashes)
    }

    private fun granted(id: String, held: Reservation, crashes: Int, now: Long): ChargeReply {
        val wait = millis(bucket.waitFor(held.position))
        when {
            held.spent -> Unit
            wait <= FINAL_WAIT_MILLIS -> charges.spend(id)
            else -> charges.postpone(id, dueAt = now + TimeUnit.MILLISECONDS.toNanos(wait))
        }
        return ChargeReply.Granted(epoch = epoch, waitMillis = wait, crashes = crashes)
    }

    /** Refunds the unused part of a charge, at most its amount, and returns the number of tokens put back. */
    fun settle(request: SettleRequest): Double {
        val held = charges.settle(request.chargeId) ?: return 0.0
        return bucket.add(request.unusedTokens.coerceIn(0.0, held.tokens))
    }

    /**
     * Lends up to [tokens] to another region while the level stays above half of the depth. The bucket also gives up
     * what it accrues while the loan is in transit, because the tokens are used that much later.
     */
    fun lend(tokens: Double, now: Long): Double {
        val transit = bucket.limits.rate * QuotaLimits.USE_DELAY_SECONDS
        val kept = maxOf(bucket.limits.depth / 2, floors.bindingFloor(now))
        val lent = minOf(tokens, bucket.level - transit - kept)
        if (lent <= 0) return 0.0
        bucket.debit(lent + transit)
        bucket.spend(lent + transit)
        return lent
    }

    /** Adds tokens lent by another region, up to the depth; returns how many were added. */
    fun addBorrowed(tokens: Double): Double = bucket.add(tokens)

    private val tolerance get() = bucket.limits.rate * REPEAT_TOLERANCE_SECONDS

    private fun longestWait(request: ChargeRequest): Long {
        val seconds = if (request.priority == Priority.BATCH) BATCH_WAIT_SECONDS else INTERACTIVE_WAIT_SECONDS
        return minOf(TimeUnit.SECONDS.toNanos(seconds), TimeUnit.MILLISECONDS.toNanos(request.maxWaitMillis))
    }

    private companion object {
        const val INTERACTIVE_WAIT_SECONDS = 1L
        const val BATCH_WAIT_SECONDS = 600L

        /** Part of the 0.25 s between accrual and use that a repeated request may take; the requester uses the rest. */
        const val REPEAT_TOLERANCE_SECONDS = 0.01

        /** Requesters use a charge after such a wait (up to 90 ms) without repeating the request. */
        const val FINAL_WAIT_MILLIS = 100L

        /** Long enough that the requester repeats the request, after 86 ms, instead of waiting by its own clock. */
        const val FLOOR_WAIT_MILLIS = 140L
    }
}

/** Milliseconds, rounded up. */
private fun millis(nanos: Long) = (nanos - 1) / NANOS_PER_MILLI + if (nanos > 0) 1 else 0

private const val NANOS_PER_MILLI = 1_000_000L
