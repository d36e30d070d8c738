package fireflyhinge.forward

import kotlin.math.exp

/** Exponentially decaying sum; for a constant input it is close to the sum per second. */
internal class DecayingSum {
    private var sum = 0.0
    private var updatedAt = 0L

    /** Adds [amount] at [now], in monotonic milliseconds. */
    fun add(amount: Int, now: Long) {
        sum = value(now) + amount
        updatedAt = now
    }

    /** Returns the sum at [now]. */
    fun value(now: Long): Double = sum * exp(-(now - updatedAt) / DECAY_MILLIS)

    private companion object {
        /** VMs receive updates of each other about once a second. */
        const val DECAY_MILLIS = 1_000.0
    }
}
