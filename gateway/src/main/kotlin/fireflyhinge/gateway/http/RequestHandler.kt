package fireflyhinge.gateway.http

/** Handles requests. The coroutine is cancelled when the caller closes its connection. */
fun interface RequestHandler {
    /** Handles [request] and writes the response to [response]. */
    suspend fun handle(request: CallerRequest, response: ResponseWriter)
}
