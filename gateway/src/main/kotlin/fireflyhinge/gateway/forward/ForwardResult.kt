package fireflyhinge.gateway.forward

import fireflyhinge.result.Outcome
import io.netty.handler.codec.http.HttpHeaders

/** What a caller gets for a request. */
internal sealed interface ForwardResult {
    /** A replica's whole answer. */
    class Response(val status: Int, val headers: HttpHeaders, val body: ByteArray) : ForwardResult

    /** The stream was handed on to its end. */
    data object Streamed : ForwardResult

    /** The stream began and broke off. */
    data class Interrupted(val reason: String) : ForwardResult

    /** No answer; [failure] says why and whether the request ran. */
    data class Failed(val failure: Outcome.Failure) : ForwardResult
}
