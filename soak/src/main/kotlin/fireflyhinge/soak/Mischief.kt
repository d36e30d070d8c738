package fireflyhinge.soak

/**
 * How a replica answers one call; [weight] is its share among wrong answers, [sound] if it may reach the caller,
 * [unfinished] if the replica breaks the answer off or never ends it.
 */
internal enum class Mischief(val weight: Int, val sound: Boolean, val unfinished: Boolean = false) {
    NONE(0, true),
    SECOND_ANSWER_LATE(6, true),
    SECOND_ANSWER_NOW(4, true),
    HEADER_WITHOUT_COLON(4, false),
    NO_ID(4, false),
    NO_STAMP(4, false),
    BODY_BREAKS_OFF(6, true, unfinished = true),
    NO_LENGTH(6, true),
    HEAD_WITHOUT_END(1, false, unfinished = true),
    BODY_WITHOUT_END(1, true, unfinished = true),
    FAILED(4, false),
    REJECTED(6, false),
    SLOW(4, true),
    PAUSE_BEFORE_HEAD(6, true),
    PAUSE_AFTER_HEAD(6, true),

    /** Between two events, or in the middle of a body. */
    PAUSE_BETWEEN_EVENTS(6, true),

    /** In the middle of an event, or just before the end of a body. */
    PAUSE_WITHIN_EVENT(6, true),
}
