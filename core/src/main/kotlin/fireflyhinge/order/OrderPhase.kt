package fireflyhinge.order

/** Progress of a replica towards its desired state. */
enum class OrderPhase {
    /** The reported state is the desired one. */
    SETTLED,

    /** The engine does not answer. */
    UNREACHABLE,

    /** The engine reports no state, so that nothing can be compared. */
    NOT_REPORTED,

    /** Two other replicas of the cell have their turn. */
    WAITS_FOR_TURN,

    /** The owner may give no order at the moment. */
    WAITS_FOR_LEASE,

    /** The replica gets no placements; its requests end before the order is given. */
    DRAINING,

    /** An order is being sent, or was given and is not reported as ended. */
    ORDERED,

    /** The engine failed or refused the last order; it is given again after a while. */
    WAITS_AFTER_REFUSAL,

    /** The engine refused a fencing token; no order is given before the map was read again. */
    STOPPED,
}
