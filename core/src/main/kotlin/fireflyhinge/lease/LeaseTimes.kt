package fireflyhinge.lease

import java.time.Duration

/**
 * Durations of the pair lease, in nanoseconds of a clock that drifts by at most 1 %.
 *
 * @property promiseNanos nominal duration of a successor's promise not to act.
 * @property ownerFactor fraction of [promiseNanos] for which an owner may act after it sent its request. With 0.99 an
 * owner whose clock is 1 % slow has stopped by the time the promise ends.
 * @property successorFactor multiple of [promiseNanos] for which a successor does not act after it received a request.
 */
data class LeaseTimes(
    val promiseNanos: Long = PROMISE_NANOS,
    val ownerFactor: Double = 0.99,
    val successorFactor: Double = 1.01,
) {
    /** Time for which an owner may act after it sent a request to which the successor promised. */
    val ownerLeaseNanos: Long = (promiseNanos * ownerFactor).toLong()

    /** Time for which a successor does not act after it received a request. */
    val successorWaitNanos: Long = (promiseNanos * successorFactor).toLong()

    /** Interval between the lease requests of an owner. */
    val renewalNanos: Long = Duration.ofSeconds(1).toNanos()

    /** Time without a reply after which an owner replaces its successor. */
    val successorTimeoutNanos: Long = Duration.ofMillis(1500).toNanos()

    /** Maximum time between the last proof that an owner was alive and its death according to the evidence. */
    val evidenceWindowNanos: Long = Duration.ofSeconds(8).toNanos()

    /**
     * Time for which an owner must have been alive after it replaced a successor before the replaced one can certainly
     * no longer act on evidence: [evidenceWindowNanos] plus the drift of both clocks.
     */
    val historyNanos: Long = Duration.ofMillis(8200).toNanos()

    /** Time for which a new process neither promises nor acts, since promises of its predecessor may still hold. */
    val startDelayNanos: Long = Duration.ofMillis(4100).toNanos()

    /** Time between two ticks after which this process counts as paused. */
    val pauseNanos: Long = Duration.ofSeconds(1).toNanos()

    /**
     * Time for which a new successor waits for the first request of an owner, which may not have learned of its shards
     * yet.
     */
    val firstContactNanos: Long = Duration.ofSeconds(8).toNanos()

    /** Time for which an imbalance must last before shards are handed over. */
    val rebalanceDelayNanos: Long = Duration.ofSeconds(5).toNanos()
}

private const val PROMISE_NANOS = 4_000_000_000L
