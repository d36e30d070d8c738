package fireflyhinge.gateway.http

/** Answers requests. The coroutine is cancelled when the caller closes its connection. */
fun interface RequestHandler {
    /** Answers [request] through [answer]. */
    suspend fun handle(request: CallerRequest, answer: AnswerWriter)
}
