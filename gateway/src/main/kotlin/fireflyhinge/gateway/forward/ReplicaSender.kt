package fireflyhinge.gateway.forward

import fireflyhinge.forward.PrefilledCache
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.ConnectFailed
import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.http.Io
import fireflyhinge.gateway.http.OutboundConnection
import fireflyhinge.gateway.http.OutboundRequests
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Sends requests to replicas, one on a connection at a time. */
internal class ReplicaSender(
    private val io: Io,
    private val pool: ConnectionPool,
    private val dialect: ReplicaDialect,
) {
    /** Sends [request] and reads the whole answer within [patienceMillis]; closes the connection if it does not come. */
    suspend fun whole(
        state: ReplicaState,
        request: CallerRequest,
        call: ReplicaCall,
        patienceMillis: Long,
    ): SendResult {
        var sent = false
        val result =
            withTimeoutOrNull(patienceMillis) {
                try {
                    use(state) { connection ->
                        sent = true
                        val head = begin(connection, request, call)
                        Reading.Whole(read(connection, head))
                    }
                } catch (e: ConnectFailed) {
                    SendResult.NotSent(e.message.orEmpty())
                } catch (e: IOException) {
                    SendResult.Lost(e.message.orEmpty())
                }
            }
        return result ?: if (sent) SendResult.Lost("no answer in $patienceMillis ms") else SendResult.NotSent("no connection")
    }

    /** Writes [request] on [connection] and returns the head of its answer. */
    suspend fun begin(connection: OutboundConnection, request: CallerRequest, call: ReplicaCall): HttpResponse {
        val headers = dialect.request(request.headers, call)
        connection.send(OutboundRequests.of(request.method, request.uri, headers, request.body))
        val id = dialect.requestId(request.headers)
        while (true) {
            val head = connection.head()
            val answered = dialect.reply(head.status().code(), head.headers()).requestId
            if (answered == null || answered == id) return head
            // The late answer to an earlier request on this connection: it is nobody's any more.
            log.atInfo().addKeyValue("request", id).addKeyValue("answered", answered).log("passed over a stray answer")
            while (connection.body() != null) Unit
        }
    }

    /** The rest of an answer that began with [head]. */
    suspend fun read(connection: OutboundConnection, head: HttpResponse): SendResult.Answered {
        val body = ByteArrayOutputStream()
        while (true) body.writeBytes(connection.body() ?: break)
        val facts = dialect.reply(head.status().code(), head.headers())
        return SendResult.Answered(head.status().code(), head.headers(), facts, body.toByteArray())
    }

    /**
     * Runs [block] with a connection to the replica. The connection is kept if [block] returns [Reading.Whole], and
     * closed otherwise, which ends work that the replica may still do.
     */
    suspend fun <T> use(state: ReplicaState, block: suspend (OutboundConnection) -> Reading<T>): T {
        val connection = pool.acquire(state.replica.address)
        state.began()
        var whole = false
        try {
            val result = block(connection)
            whole = result is Reading.Whole
            return result.value
        } finally {
            state.ended()
            if (whole) pool.release(connection) else connection.close()
        }
    }

    /** Headers that a caller gets for an answer with [headers]. */
    fun toCaller(headers: HttpHeaders): HttpHeaders = dialect.toCaller(headers)

    /** The KV cache that a prefill at [address] left, or null if [body] does not name one. */
    fun cache(address: String, body: ByteArray): PrefilledCache? = dialect.cache(address, body)

    /** Frees a KV cache that nobody will fetch. Nobody waits for the answer; the replica drops it soon anyway. */
    fun release(cache: PrefilledCache) {
        io.scope.launch {
            try {
                withTimeoutOrNull(RELEASE_MILLIS) {
                    val connection = pool.acquire(cache.address)
                    connection.send(OutboundRequests.of("DELETE", dialect.releasePath(cache), DefaultHttpHeaders()))
                    connection.head()
                    while (connection.body() != null) Unit
                    pool.release(connection)
                }
            } catch (e: IOException) {
                log.debug("a KV cache was not freed: {}", e.message)
            }
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(ReplicaSender::class.java)

        /** KV caches lapse by themselves after half a second. */
        const val RELEASE_MILLIS = 500L
    }
}
