package fireflyhinge.soak

/** Faults from outside the programs. Those that are not [calm] excuse a gateway from bounds of time. */
internal enum class FaultKind(val calm: Boolean) {
    GATEWAY_KILL(false),
    GATEWAY_TERM(false),
    GATEWAY_PAUSE(false),
    STORE_DOWN(false),
    STORE_SLOW(false),
    STORE_LINK(false),

    /** A store that refuses calls and is then restored from a backup; its writers rewrite their objects after that. */
    STORE_RESTORE(false),
    REPLICA_LINK(true),
    KEYS_CHANGE(true),

    /** A configuration with another idle limit, time-out, route, weight or workspace limit. */
    CONFIG_CHANGE(true),

    /** A settings file that changes, with SIGHUP or without. */
    SETTINGS_CHANGE(true),

    /** An entry of another writer among the replicas. */
    ODD_ENTRY(true),
}
