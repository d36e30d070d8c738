package fireflyhinge.gateway.forward

import fireflyhinge.forward.RequestFacts
import fireflyhinge.result.Outcome
import io.netty.handler.codec.http.HttpHeaders

/** Reads what callers say in the headers of a request. */
interface CallerDialect {
    /** The facts in [headers], or a failure if a header that decides something is malformed or sent twice. */
    fun facts(headers: HttpHeaders): Outcome<RequestFacts>
}
