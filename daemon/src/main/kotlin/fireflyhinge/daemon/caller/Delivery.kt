package fireflyhinge.daemon.caller

/** What became of one token of a decode stream. */
internal enum class Delivery {
    /** It was handed to the caller. */
    SENT,

    /** It belongs to another attempt or was delivered before. */
    DROPPED,

    /** A token before it is missing. */
    GAP,

    /** The caller's connection is closed. */
    CALLER_GONE,
}
