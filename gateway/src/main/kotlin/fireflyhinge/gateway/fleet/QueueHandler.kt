package fireflyhinge.gateway.fleet

import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.RequestHandler
import fireflyhinge.gateway.http.ResponseWriter
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import org.slf4j.LoggerFactory
import java.io.IOException

/** Serves the messages about waiting requests on the control interface, and passes the others to [next]. */
internal class QueueHandler(private val queues: OwnedQueues, private val next: RequestHandler) : RequestHandler {
    private val log = LoggerFactory.getLogger(javaClass)

    override suspend fun handle(request: CallerRequest, response: ResponseWriter) {
        if (!request.uri.startsWith(PATH)) return next.handle(request, response)
        val (status, body) =
            try {
                reply(request)?.let { OK to it } ?: (NOT_FOUND to EMPTY)
            } catch (e: IOException) {
                log.atWarn().addKeyValue("path", request.uri).addKeyValue("reason", e.message)
                    .log("malformed message from another VM; answered with status 400")
                BAD_REQUEST to EMPTY
            }
        response.respond(status, DefaultHttpHeaders().add(HttpHeaderNames.CONTENT_TYPE, "application/json"), body)
    }

    private suspend fun reply(request: CallerRequest): ByteArray? =
        when (request.uri) {
            WAIT_PATH -> queues.await(QueueMessages.call(request.body))?.let { QueueMessages.encode(it) }
            END_PATH -> {
                val (queue, id, taken) = QueueMessages.end(request.body)
                EMPTY.also { queues.ended(queue, id, taken) }
            }
            FREED_PATH -> {
                val (queue, replicas) = QueueMessages.freed(request.body)
                EMPTY.also { queues.freed(queue, replicas) }
            }
            else -> null
        }

    companion object {
        /** Paths of the control interface. */
        private const val PATH = "/peer/v1/queue/"
        const val WAIT_PATH = "/peer/v1/queue/wait"
        const val END_PATH = "/peer/v1/queue/end"
        const val FREED_PATH = "/peer/v1/queue/freed"

        private val EMPTY = ByteArray(0)
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
    }
}
