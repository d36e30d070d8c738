package fireflyhinge.membership

/** The result of merging a [Heartbeat]. */
enum class HeartbeatResult {
    /** The heartbeat was not newer than the known entry. */
    STALE,

    /** The heartbeat was newer and changed nothing else. */
    NEWER,

    /** The heartbeat changed the entry in a way that other members should learn of. */
    CHANGED,

    /** The VM or its incarnation is not known, so its complete entry is needed. */
    UNKNOWN,
}
