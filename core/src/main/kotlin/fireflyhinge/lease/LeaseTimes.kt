package fireflyhinge.lease

import java.time.Duration

/**
 * Durations of the pair lease, in nanoseconds of a clock that drifts by at most 1 %.
 *
 * @property ownerFactor share of [promise] that an owner counts from the moment it sent its request. At 0.99 an owner
 * whose clock is 1 % slow has still stopped when the promise ends.
 * @property successorFactor multiple of [promise] that a successor counts from the moment it received the request.
 */
data class LeaseTimes(
    val promiseNanos: Long = PROMISE_NANOS,
    val ownerFactor: Double = 0.99,
    val successorFactor: Double = 1.01,
) {
    /** Time for which an owner may act after it sent a request that was granted. */
    val ownerLeaseNanos: Long = (promiseNanos * ownerFactor).toLong()

    /** Time for which a successor does not act after it received a request. */
    val successorWaitNanos: Long = (promiseNanos * successorFactor).toLong()

    /** Interval of an owner's requests. */
    val renewalNanos: Long = Duration.ofSeconds(1).toNanos()

    /** Silence after which an owner replaces its successor. */
    val successorTimeoutNanos: Long = Duration.ofMillis(1500).toNanos()

    /** Age that the last proof of an owner's life may have at the time by which it was dead according to evidence. */
    val evidenceWindowNanos: Long = Duration.ofSeconds(8).toNanos()

    /**
     * Time by which an owner must have outlived the replacement of a successor before the replaced one's right to act
     * on evidence has ended for certain: [evidence] with the drift of both clocks.
     */
    val historyNanos: Long = Duration.ofMillis(8200).toNanos()

    /** Time for which a new process neither promises nor acts, in case it replaced one whose promises still count. */
    val startDelayNanos: Long = Duration.ofMillis(4100).toNanos()

    /** Gap in the own loop after which the process counts as paused. */
    val pauseNanos: Long = Duration.ofSeconds(1).toNanos()

    /** Time that a successor gives an owner that has never asked it, since that owner may just learn of its shards. */
    val firstContactNanos: Long = Duration.ofSeconds(8).toNanos()

    /** Time for which an imbalance must last before shards are handed over. */
    val rebalanceDelayNanos: Long = Duration.ofSeconds(5).toNanos()
}

private const val PROMISE_NANOS = 4_000_000_000L
