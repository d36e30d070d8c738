package fireflyhinge.gateway.http

import io.netty.handler.codec.http.HttpResponse

/** Whose answer begins with a head. */
internal enum class AnswerMatch {
    /** It answers the request that waits. */
    OWN,

    /** It answers an earlier request on the connection, whose sender is gone. */
    EARLIER,

    /** It does not say what it answers. */
    UNIDENTIFIED,
}

/** Tells from a head whether it answers the request that waits on a connection. */
internal typealias AnswerMatcher = (HttpResponse) -> AnswerMatch
