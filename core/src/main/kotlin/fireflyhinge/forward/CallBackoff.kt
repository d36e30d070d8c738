package fireflyhinge.forward

import kotlin.random.Random

/** Pauses between calls that are repeated because they failed or were of no use. */
class CallBackoff(private val random: Random = Random.Default) {
    /** Pause after [times] such calls in a row: random, so that many callers spread, and growing up to a bound. */
    fun millis(times: Int): Long {
        val backoff = minOf(FIRST_MILLIS shl minOf(times - 1, MAX_DOUBLINGS), MAX_MILLIS)
        return backoff / 2 + random.nextLong(backoff)
    }

    private companion object {
        const val FIRST_MILLIS = 200L
        const val MAX_DOUBLINGS = 3

        /**
         * 1.5 times this, the first watch after an outage (100 ms) and the time for which absent objects are retained
         * (2.2 s) together are less than the platform's `contactMs`: removals must take effect from 4 s after an
         * outage. A call that a silent store lost may take 1 s more, which is within `drainMs`.
         */
        const val MAX_MILLIS = 1_000L
    }
}
