package fireflyhinge.gateway.forward

import fireflyhinge.forward.RequestMetadata
import fireflyhinge.result.Outcome
import io.netty.handler.codec.http.HttpHeaders

/** Reads what callers say in the headers of a request. */
interface CallerProtocol {
    /** The metadata in [headers], or a failure if a header that decides something is malformed or sent twice. */
    fun metadata(headers: HttpHeaders): Outcome<RequestMetadata>
}
