package fireflyhinge.order

import fireflyhinge.lease.ActingLease
import java.time.Duration

/** Rules about when an owner may give orders. Times are monotonic nanoseconds. */
object OrderTiming {
    /** Remaining time that the lease must have for an order to an engine that ignores fencing tokens. */
    val MIN_LEASE_NANOS: Long = Duration.ofMillis(1500).toNanos()

    /**
     * Time for which a new owner gives no orders. By then the last order of the previous owner has timed out, and the
     * engine reports, which lag, show what it started.
     */
    val START_DELAY_NANOS: Long = Duration.ofMillis(1500).toNanos()

    /** Timeout of one order, after which its connection is closed. */
    const val ORDER_TIMEOUT_MILLIS = 1_000L

    /**
     * Why an owner that has acted under [ownerEpoch] since [actingSince] may not give an order at [now], or null if it
     * may. [lease] is its current lease.
     */
    fun obstacle(
        lease: ActingLease?,
        ownerEpoch: Long,
        actingSince: Long,
        checksFence: Boolean,
        now: Long,
    ): OrderObstacle? =
        when {
            lease == null || lease.ownerEpoch != ownerEpoch -> OrderObstacle.NOT_OWNER
            !lease.confirmed -> OrderObstacle.NOT_IN_STORE
            now - actingSince < START_DELAY_NANOS -> OrderObstacle.NEW_OWNER
            !checksFence && now > lease.until - MIN_LEASE_NANOS -> OrderObstacle.LEASE_ENDS
            else -> null
        }
}
