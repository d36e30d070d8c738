package fireflyhinge.slopes

/** What a caller of [ClosingRace] saw of one request. */
internal enum class CallResult {
    /** The whole answer arrived. */
    ANSWERED,

    /** An answer with another status than 200 arrived. */
    REFUSED,

    /** The request was sent and the connection ended without an answer. */
    LOST,

    /** No connection could be opened, so that nothing was sent. */
    NOT_CONNECTED,
}
