package fireflyhinge.order

/** The reason why an owner may not give an order now. */
enum class OrderObstacle {
    /** This process does not act for the shard, or has become its owner again under a new epoch. */
    NOT_OWNER,

    /** The owner took over on death evidence and the stored shard map does not name it yet. */
    NOT_IN_STORE,

    /** The owner has acted for less than [OrderTiming.START_DELAY_NANOS]. */
    NEW_OWNER,

    /** The remaining lease time is too short for an engine that ignores fencing tokens. */
    LEASE_ENDS,
}
