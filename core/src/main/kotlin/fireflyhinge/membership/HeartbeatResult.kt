package fireflyhinge.membership

/** What a [Heartbeat] told the receiver. */
enum class HeartbeatResult {
    /** Nothing new. */
    STALE,

    /** A newer heartbeat without any other change. */
    NEWER,

    /** A change that others should hear about. */
    CHANGED,

    /** The VM or its incarnation is not known; its whole entry is needed. */
    UNKNOWN,
}
