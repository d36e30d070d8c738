package fireflyhinge.gateway.http

import io.netty.handler.codec.http.HttpResponse

/** Tells from a head whose answer it begins. */
internal interface AnswerMatcher {
    /** Id of the request that an answer with [head] names, or null if it names none. */
    fun requestId(head: HttpResponse): String?

    /** Whether an answer with [head] is that to the request that waits. */
    fun match(head: HttpResponse): AnswerMatch

    /** For servers whose answers name no requests. */
    data object Any : AnswerMatcher {
        override fun requestId(head: HttpResponse): String? = null

        override fun match(head: HttpResponse): AnswerMatch = AnswerMatch.OWN
    }
}
