package fireflyhinge.gateway.fleet

import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.RequestHandler

/** Serves the messages about waiting requests on the control interface. */
internal class QueueHandler(private val queues: OwnedQueues, next: RequestHandler) : PrefixHandler(PATH, next) {
    override suspend fun reply(request: CallerRequest): ByteArray? =
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
    }
}
