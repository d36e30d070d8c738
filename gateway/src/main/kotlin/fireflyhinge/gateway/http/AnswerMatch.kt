package fireflyhinge.gateway.http

/** Whose answer begins with a head. */
internal enum class AnswerMatch {
    /** It answers the request that waits. */
    OWN,

    /** It answers an earlier request on the connection, whose sender is gone. */
    EARLIER,

    /** It does not say what it answers. */
    UNIDENTIFIED,
}
