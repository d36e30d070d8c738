package fireflyhinge.gateway.forward

import fireflyhinge.result.Outcome
import io.netty.handler.codec.http.HttpHeaders

/** Outcome of forwarding a request, as the caller gets it. */
internal sealed interface ForwardResult {
    /** A replica's complete response. */
    class Response(val status: Int, val headers: HttpHeaders, val body: ByteArray) : ForwardResult

    /** The stream was forwarded to its end. */
    data object Streamed : ForwardResult

    /** The stream began and was interrupted. */
    data class Interrupted(val reason: String) : ForwardResult

    /** No response; [failure] gives the reason and whether the request ran. */
    data class Failed(val failure: Outcome.Failure) : ForwardResult
}
