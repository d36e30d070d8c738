package fireflyhinge.forward

import kotlin.math.exp

/** A sum in which older additions fade; with a constant stream of additions it is close to their sum per second. */
internal class DecayingSum {
    private var sum = 0.0
    private var at = 0L

    /** Adds [amount] at [now], in monotonic milliseconds. */
    fun add(amount: Int, now: Long) {
        sum = value(now) + amount
        at = now
    }

    /** The sum at [now]. */
    fun value(now: Long): Double = sum * exp(-(now - at) / FADE_MILLIS)

    private companion object {
        /** VMs hear of each other about once a second. */
        const val FADE_MILLIS = 1_000.0
    }
}
