package fireflyhinge.quota

import java.util.concurrent.TimeUnit
import kotlin.math.ceil

/**
 * A token bucket with reservations ahead of the supply. It keeps the cumulative supply and demand of tokens. The level
 * is their difference, and a reservation is ready once the supply reaches its position in the demand. A change of the
 * rate therefore also moves existing reservations. Tokens that are reserved but not spent count towards the depth. Not
 * thread-safe; times are monotonic nanoseconds.
 *
 * @param nextReserved tokens of the reservation that is ready next. The bucket can hold that many even if its depth was
 * lowered.
 */
class TokenBucket(
    limits: QuotaLimits,
    level: Double,
    private var updatedAt: Long,
    private val nextReserved: () -> Double = { 0.0 },
) {
    private var supply = minOf(level, limits.depth)
    private var demand = 0.0
    private var spent = 0.0

    /** Current limits. */
    var limits: QuotaLimits = limits
        private set

    /** Tokens that can be charged without a wait; negative while reservations wait. */
    val level: Double get() = supply - demand

    private val unspent: Double get() = supply - spent

    private val capacity: Double get() = maxOf(limits.depth, nextReserved())

    /** Accrues tokens until [now]; a time before the last update has no effect. */
    fun advance(now: Long) {
        if (now <= updatedAt) return
        add(limits.rate * (now - updatedAt) / NANOS_PER_SECOND)
        updatedAt = now
    }

    /** Replaces the limits from [now] on. Tokens above the new depth are lost. */
    fun configure(next: QuotaLimits, now: Long) {
        advance(now)
        limits = next
        supply = minOf(supply, spent + capacity)
    }

    /** Adds [tokens] to the demand and returns the position of the charge. */
    fun debit(tokens: Double): Double {
        demand += tokens
        return demand
    }

    /** Records that [tokens] of the debited tokens are used, or will never be used. */
    fun spend(tokens: Double) {
        spent += tokens
    }

    /** Adds [tokens], up to the depth. Returns how many were added. */
    fun add(tokens: Double): Double {
        val added = minOf(tokens, maxOf(0.0, capacity - unspent))
        supply += added
        return added
    }

    /** Nanoseconds until the supply reaches [position] in the demand, rounded up; [Long.MAX_VALUE] if it never does. */
    fun waitFor(position: Double): Long {
        val missing = position - supply
        if (missing <= 0) return 0
        val nanos = missing / limits.rate * NANOS_PER_SECOND
        return if (nanos < MAX_NANOS) ceil(nanos).toLong() else Long.MAX_VALUE
    }

    /** Nanoseconds until [tokens] more can be charged. */
    fun waitForMore(tokens: Double): Long = waitFor(demand + tokens)

    /** Tokens supplied since the supply reached [position]; negative before. */
    fun supplyBeyond(position: Double): Double = supply - position

    private companion object {
        val NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1).toDouble()

        /** One year; longer waits are treated as endless. */
        val MAX_NANOS = TimeUnit.DAYS.toNanos(365).toDouble()
    }
}
