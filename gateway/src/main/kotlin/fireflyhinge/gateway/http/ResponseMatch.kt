package fireflyhinge.gateway.http

/** Which request on a connection a response belongs to. */
internal enum class ResponseMatch {
    /** It responds to the pending request. */
    CURRENT,

    /** It responds to an earlier request on the connection that was abandoned. */
    EARLIER,

    /** It does not identify its request. */
    UNIDENTIFIED,
}
