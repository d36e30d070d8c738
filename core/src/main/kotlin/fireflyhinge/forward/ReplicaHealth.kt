package fireflyhinge.forward

/** Failure history of one replica. Not thread-safe; times are monotonic milliseconds. */
internal class ReplicaHealth {
    private var consecutiveFailures = 0
    private var failureRate = 0.0
    private var backoffUntil = 0L

    /** Amount that the replica's failures add to its load when replicas are compared. */
    val cost: Double get() = maxOf(0.0, failureRate - TOLERATED_FAILURE_RATE) * FAILURE_COST

    /** Whether the replica is excluded from selection at [now] because it did not respond. */
    fun inBackoff(now: Long): Boolean = now < backoffUntil

    /** Records a response. [success] is false if the replica reported a failure of its own. */
    fun recordResponse(success: Boolean) {
        consecutiveFailures = 0
        backoffUntil = 0
        failureRate += ((if (success) 0.0 else 1.0) - failureRate) * FAILURE_WEIGHT
    }

    /** Records a request without a response and starts a backoff that doubles with each consecutive failure. */
    fun recordNoResponse(now: Long) {
        consecutiveFailures++
        failureRate += (1 - failureRate) * FAILURE_WEIGHT
        val backoff = minOf(MIN_BACKOFF_MILLIS shl minOf(consecutiveFailures - 1, MAX_DOUBLINGS), MAX_BACKOFF_MILLIS)
        backoffUntil = now + backoff
    }

    private companion object {
        /** Weight of one response in the moving average of failures, which reflects about ten responses. */
        const val FAILURE_WEIGHT = 0.1

        /** Healthy replicas fail at this rate as well, for example because of application errors. */
        const val TOLERATED_FAILURE_RATE = 0.2

        /** A replica that always fails costs as much as two full replicas. */
        const val FAILURE_COST = 2.0
        const val MIN_BACKOFF_MILLIS = 1_000L
        const val MAX_DOUBLINGS = 2
        const val MAX_BACKOFF_MILLIS = 4_000L
    }
}
