package fireflyhinge.order

/** Why an owner may give no order now. */
enum class OrderObstacle {
    /** This process does not act for the shard, or became its owner anew. */
    NOT_OWNER,

    /** The owner took over on evidence and the store's map does not name it yet. */
    NOT_IN_STORE,

    /** The owner acts for less than [OrderTiming.START_DELAY_NANOS]. */
    NEW_OWNER,

    /** The lease ends too soon for an engine that ignores fencing tokens. */
    LEASE_ENDS,
}
