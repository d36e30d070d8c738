package fireflyhinge.soak

/** How the store answers. */
internal enum class StoreMode {
    SOUND,

    /** Refuses each call with 503. */
    DOWN,

    /** Answers after half a second. */
    SLOW,
}
