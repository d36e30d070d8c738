package fireflyhinge.forward

/** How reliably one replica answers. Not thread-safe; times are monotonic milliseconds. */
internal class ReplicaHealth {
    private var failures = 0
    private var failureShare = 0.0
    private var silentUntil = 0L

    /** What the replica's failures add to its load when replicas are compared. */
    val cost: Double get() = maxOf(0.0, failureShare - TOLERATED_FAILURES) * FAILURE_COST

    /** Whether the replica is left out at [now]. */
    fun leftOut(now: Long): Boolean = now < silentUntil

    /** The replica answered; [good] is false if it reported a failure of its own. */
    fun answered(good: Boolean) {
        failures = 0
        silentUntil = 0
        failureShare += ((if (good) 0.0 else 1.0) - failureShare) * FAILURE_WEIGHT
    }

    /** The replica gave no answer: it is left out for a while that doubles with each failure in a row. */
    fun silent(now: Long) {
        failures++
        failureShare += (1 - failureShare) * FAILURE_WEIGHT
        val pause = minOf(FIRST_PAUSE_MILLIS shl minOf(failures - 1, MAX_DOUBLINGS), LONGEST_PAUSE_MILLIS)
        silentUntil = now + pause
    }

    private companion object {
        /** Weight of one answer in the moving share of failures: some ten answers decide. */
        const val FAILURE_WEIGHT = 0.1

        /** Share of failures that sound replicas show as well, such as errors of the application. */
        const val TOLERATED_FAILURES = 0.2

        /** A replica that fails always costs as much as two that are full. */
        const val FAILURE_COST = 2.0
        const val FIRST_PAUSE_MILLIS = 1_000L
        const val MAX_DOUBLINGS = 2
        const val LONGEST_PAUSE_MILLIS = 4_000L
    }
}
