package fireflyhinge.gateway.fleet

import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.RequestHandler
import fireflyhinge.gateway.http.ResponseWriter
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import org.slf4j.LoggerFactory
import java.io.IOException

/** Serves the messages of other VMs whose paths begin with [prefix], and passes the others to [next]. */
internal abstract class PrefixHandler(private val prefix: String, private val next: RequestHandler) : RequestHandler {
    private val log = LoggerFactory.getLogger(javaClass)

    /** Media type of the responses. */
    protected open val contentType: String get() = "application/json"

    override suspend fun handle(request: CallerRequest, response: ResponseWriter) {
        if (!request.uri.startsWith(prefix)) return next.handle(request, response)
        val (status, body) =
            try {
                reply(request)?.let { OK to it } ?: (NOT_FOUND to EMPTY)
            } catch (e: IOException) {
                log.atWarn().addKeyValue("path", request.uri).addKeyValue("reason", e.message)
                    .log("malformed message from another VM; answered with status 400")
                BAD_REQUEST to EMPTY
            }
        response.respond(status, DefaultHttpHeaders().add(HttpHeaderNames.CONTENT_TYPE, contentType), body)
    }

    /** Returns the body of the response; null if no message has this path. Throws [IOException] if it is malformed. */
    protected abstract suspend fun reply(request: CallerRequest): ByteArray?

    protected companion object {
        val EMPTY = ByteArray(0)
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
    }
}
