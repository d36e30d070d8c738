package fireflyhinge.soak

/** How a replica answers one call; [weight] is its share among wrong answers, [sound] if it may reach the caller. */
internal enum class Mischief(val weight: Int, val sound: Boolean) {
    NONE(0, true),
    SECOND_ANSWER_LATE(6, true),
    SECOND_ANSWER_NOW(4, true),
    HEADER_WITHOUT_COLON(4, false),
    NO_ID(4, false),
    NO_STAMP(4, false),
    BODY_BREAKS_OFF(6, true),
    NO_LENGTH(6, true),
    HEAD_WITHOUT_END(1, false),
    BODY_WITHOUT_END(1, true),
    FAILED(4, false),
    REJECTED(6, false),
    SLOW(4, true),
}
