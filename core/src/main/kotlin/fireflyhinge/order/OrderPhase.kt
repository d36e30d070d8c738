package fireflyhinge.order

/** Progress of a replica towards its desired state. */
enum class OrderPhase {
    /** The reported state equals the desired one. */
    SETTLED,

    /** The engine does not answer. */
    UNREACHABLE,

    /** The engine does not report its state, so it cannot be compared with the desired one. */
    NOT_REPORTED,

    /** The maximum number of replicas of the cell already drain or carry out an order. */
    WAITS_FOR_TURN,

    /** The owner may not give an order now; see [OrderObstacle]. */
    WAITS_FOR_LEASE,

    /** The replica gets no new placements, and the order is given once its requests have ended. */
    DRAINING,

    /** An order is being sent, or was sent and is not reported as finished. */
    ORDERED,

    /** The engine failed or refused the last order, which is retried after [ReplicaOrders.RETRY_NANOS]. */
    WAITS_AFTER_REFUSAL,

    /** The engine refused a fencing token. No order is given until the shard map has been read again. */
    STOPPED,
}
