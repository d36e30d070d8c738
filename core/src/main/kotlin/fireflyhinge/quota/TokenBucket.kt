package fireflyhinge.quota

import java.util.concurrent.TimeUnit
import kotlin.math.ceil

/**
 * A token bucket from which charges may be reserved ahead. It counts the tokens supplied and the tokens demanded in
 * total; the level is their difference, and a reservation is ready when the supply has reached its place in the
 * demand. A change of the rate thereby also moves reservations that were made before. Tokens that are reserved but not
 * spent count towards the depth. Not thread-safe; times are monotonic nanoseconds.
 *
 * @param awaited tokens of the reservation that is ready next. The bucket holds that many even after its depth was
 * lowered.
 */
class TokenBucket(
    limits: QuotaLimits,
    level: Double,
    private var at: Long,
    private val awaited: () -> Double = { 0.0 },
) {
    private var supply = minOf(level, limits.depth)
    private var demand = 0.0
    private var spent = 0.0

    /** Limits in force. */
    var limits: QuotaLimits = limits
        private set

    /** Tokens that may be charged without a wait; negative while reservations wait. */
    val level: Double get() = supply - demand

    private val unspent: Double get() = supply - spent

    private val capacity: Double get() = maxOf(limits.depth, awaited())

    /** Lets tokens accrue until [now]; an earlier time changes nothing. */
    fun advance(now: Long) {
        if (now <= at) return
        add(limits.rate * (now - at) / NANOS_PER_SECOND)
        at = now
    }

    /** Replaces the limits from [now] on. Tokens above the new depth are lost. */
    fun configure(next: QuotaLimits, now: Long) {
        advance(now)
        limits = next
        supply = minOf(supply, spent + capacity)
    }

    /** Takes [tokens] and returns the charge's place in the demand. */
    fun debit(tokens: Double): Double {
        demand += tokens
        return demand
    }

    /** Records that [tokens] that were debited are used, or never will be. */
    fun spend(tokens: Double) {
        spent += tokens
    }

    /** Puts [tokens] back, up to the depth. Returns how many were put back. */
    fun add(tokens: Double): Double {
        val added = minOf(tokens, maxOf(0.0, capacity - unspent))
        supply += added
        return added
    }

    /** Nanoseconds until the supply reaches [place] in the demand, rounded up; [Long.MAX_VALUE] if it never does. */
    fun waitFor(place: Double): Long {
        val lacking = place - supply
        if (lacking <= 0) return 0
        val nanos = lacking / limits.rate * NANOS_PER_SECOND
        return if (nanos < MAX_NANOS) ceil(nanos).toLong() else Long.MAX_VALUE
    }

    /** Nanoseconds until [tokens] more could be charged. */
    fun waitForMore(tokens: Double): Long = waitFor(demand + tokens)

    /** Tokens supplied since the supply reached [place]; negative before. */
    fun past(place: Double): Double = supply - place

    private companion object {
        val NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1).toDouble()

        /** A year; longer waits count as endless. */
        val MAX_NANOS = TimeUnit.DAYS.toNanos(365).toDouble()
    }
}
