package fireflyhinge.gateway.http

import io.netty.handler.codec.http.HttpResponse

/** Determines from a response head which request the response belongs to. */
internal interface ResponseMatcher {
    /** Request id that the response with [head] carries, or null if it carries none. */
    fun requestId(head: HttpResponse): String?

    /** Whether the response with [head] belongs to the pending request. */
    fun match(head: HttpResponse): ResponseMatch

    /** For servers whose responses carry no request id. */
    data object AcceptAll : ResponseMatcher {
        override fun requestId(head: HttpResponse): String? = null

        override fun match(head: HttpResponse): ResponseMatch = ResponseMatch.CURRENT
    }
}
