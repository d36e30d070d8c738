package fireflyhinge.order

import fireflyhinge.lease.ActingLease
import java.time.Duration

/** When an owner may give orders. Times are monotonic nanoseconds. */
object OrderMargin {
    /** Time that the lease must last for an order to an engine that ignores fencing tokens. */
    val LEASE_NANOS: Long = Duration.ofMillis(1500).toNanos()

    /**
     * Time for which a new owner gives no order. An order that the previous owner sent at its last moment was abandoned
     * before that, and the engines' lagging reports show what it started.
     */
    val START_NANOS: Long = Duration.ofMillis(1500).toNanos()

    /** Limit of one order, after which its connection is closed. */
    const val ORDER_MILLIS = 1_000L

    /**
     * Why an owner that has acted under [since] from [began] on may not give an order at [now], or null if it may.
     * [lease] is its present lease.
     */
    fun obstacle(lease: ActingLease?, since: Long, began: Long, checksFence: Boolean, now: Long): OrderObstacle? =
        when {
            lease == null || lease.since != since -> OrderObstacle.NOT_OWNER
            !lease.confirmed -> OrderObstacle.NOT_IN_STORE
            now - began < START_NANOS -> OrderObstacle.NEW_OWNER
            !checksFence && now > lease.until - LEASE_NANOS -> OrderObstacle.LEASE_ENDS
            else -> null
        }
}
