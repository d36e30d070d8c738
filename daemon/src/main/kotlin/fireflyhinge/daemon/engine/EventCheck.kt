package fireflyhinge.daemon.engine

/** Verdict on an event of a decode stream. */
internal enum class EventCheck {
    /** The next event of this attempt. */
    NEXT,

    /** An event of another request or attempt, or a token that was received before. */
    FOREIGN,

    /** Tokens before this event are missing. */
    GAP,

    /** A token beyond the last one that was asked for. */
    EXCESS,
}
