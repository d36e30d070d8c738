package fireflyhinge.gateway.forward

import fireflyhinge.forward.RequestMetadata
import fireflyhinge.result.Outcome
import io.netty.handler.codec.http.HttpHeaders

/** Parses the headers of callers' requests. */
interface CallerProtocol {
    /** Parses [headers]. Fails if a header that affects the handling of the request is malformed or repeated. */
    fun metadata(headers: HttpHeaders): Outcome<RequestMetadata>
}
