package fireflyhinge.daemon.quota

/** Timeouts and delays of a requester of charges. */
internal object QuotaTimes {
    /**
     * Longest time from sending a charge to its reply for which the grant is used. The bucket's depth leaves room for
     * 250 ms between accrual and use; the rest is for the requester's clock drift, local waits and the owner's
     * tolerance.
     */
    const val MAX_REPLY_MILLIS = 230L

    /**
     * Timeout of a charge call, the same as for the other messages to quota owners. A reply later than
     * [MAX_REPLY_MILLIS] still shows that the owner is alive, refuses or names another owner, and the connection
     * stays open.
     */
    const val CHARGE_TIMEOUT_MILLIS = 1_000L

    /** Waits up to this long are timed by the requester's clock. A longer one ends with another call to the owner. */
    const val MAX_LOCAL_WAIT_MILLIS = 90L

    /** The requester's clock may be 1 % fast and the owner's 1 % slow; a wait extended by this never ends early. */
    const val CLOCK_DRIFT_FACTOR = 1.02

    /** Share of a long wait after which the owner is called again; what remains is a local wait or another retry. */
    const val RETRY_WAIT_FACTOR = 0.97

    /** Time before the end of a long wait at which the owner is called again. */
    const val RETRY_LEAD_MILLIS = 50L

    /** Delay before a retry when the owner is not known or its process is gone. */
    const val MIN_RETRY_DELAY_MILLIS = 50L

    /**
     * Longest delay after late or missing replies. It doubles from [MIN_RETRY_DELAY_MILLIS] and stays below
     * [CHARGE_TIMEOUT_MILLIS].
     */
    const val MAX_RETRY_DELAY_MILLIS = 800L

    /** Interval at which a sleeping charge checks whether the caller has left. */
    const val CALLER_POLL_MILLIS = 50L

    /**
     * Longest search for an acting owner: the expiry of a lease (4.04 s), a store write and the first promise. A late
     * reply is better than the refusal of a request within its workspace's rate.
     */
    const val OWNER_SEARCH_TIMEOUT_MILLIS = 6_000L
}
