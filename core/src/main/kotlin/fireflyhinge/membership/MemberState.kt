package fireflyhinge.membership

/** State of a VM as its peers see it. */
enum class MemberState {
    /** Responds and accepts new requests. */
    LIVE,

    /** Responds and finishes its requests, but gets no new ones. */
    DRAINING,

    /** Gave no sign of life for the health limit and cannot be reached. */
    UNRESPONSIVE,

    /** Has certainly stopped; see [DeathEvidence]. */
    GONE,
}
