package fireflyhinge.membership

/** State of a VM as its peers see it. */
enum class MemberState {
    /** Answers and takes new requests. */
    LIVE,

    /** Answers and finishes its requests; gets no new ones. */
    DRAINING,

    /** Has not been heard from for the health limit. */
    UNRESPONSIVE,

    /** Is known to have stopped: gone from the platform's list, or its port is closed. */
    GONE,
}
