package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.ConnectFailedException
import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.http.OutboundConnection
import fireflyhinge.gateway.http.OutboundRequests
import fireflyhinge.gateway.http.ResponseMatch
import fireflyhinge.gateway.http.ResponseMatcher
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** Sends requests to replicas, one at a time per connection. */
internal class ReplicaSender(
    private val pool: ConnectionPool,
    private val protocol: ReplicaProtocol,
    private val notices: ReplicaNotices,
    private val cold: ColdSends,
) {
    /** Sends [request] and reads the complete response. Closes the connection at the time-out, which ends the run. */
    suspend fun sendAndRead(
        state: ReplicaState,
        request: CallerRequest,
        call: ReplicaRequestOptions,
        timeoutMillis: Long,
        tokens: Int = 0,
    ): SendResult {
        var sent = false
        val result =
            withTimeoutOrNull(timeoutMillis) {
                try {
                    use(state, request, tokens) { connection ->
                        sent = true
                        val head = begin(state, connection, request, call)
                        ReadResult.Complete(read(connection, head))
                    }
                } catch (e: ConnectFailedException) {
                    SendResult.NotSent(e.message.orEmpty())
                } catch (e: ColdBudgetException) {
                    SendResult.NotSent(e.message.orEmpty(), noBudget = true)
                } catch (e: IOException) {
                    SendResult.NoResponse(e.message.orEmpty(), brokenOff = true)
                }
            }
        if (result != null) return result
        if (!sent) return SendResult.NotSent("no connection")
        return SendResult.NoResponse("no answer in $timeoutMillis ms")
    }

    /**
     * Writes [request] for [state]'s replica to [connection] and returns the head of the response. Throws
     * [ColdBudgetException] before it writes if the replica is cold and there is no budget; [claimed] is true if the
     * request has claimed it.
     */
    suspend fun begin(
        state: ReplicaState,
        connection: OutboundConnection,
        request: CallerRequest,
        call: ReplicaRequestOptions,
        claimed: Boolean = false,
    ): HttpResponse {
        val headers = protocol.request(request.headers, call)
        val id = protocol.requestId(request.headers)
        val sent = OutboundRequests.of(request.method, request.uri, headers, request.body)
        cold.acquire(state, claimed)
        connection.send(sent, id, Matcher(id, call))
        val head = connection.readHead()
        notices.record(state, protocol.reply(head.status().code(), head.headers()))
        return head
    }

    private inner class Matcher(private val id: String?, private val call: ReplicaRequestOptions) : ResponseMatcher {
        override fun requestId(head: HttpResponse): String? = metadata(head).requestId

        override fun match(head: HttpResponse): ResponseMatch {
            val metadata = metadata(head)
            val success = head.status().codeClass() == HttpStatusClass.SUCCESS
            return when {
                metadata.requestId == null -> ResponseMatch.UNIDENTIFIED
                metadata.requestId != id -> ResponseMatch.EARLIER
                // The response to a prefill never reaches a caller, so it needs no stamp.
                success && !metadata.stamped && !call.prefill -> ResponseMatch.UNIDENTIFIED
                // Requests to replicas accept no content coding, so this body is not the replica's.
                success && head.headers().contains(HttpHeaderNames.CONTENT_ENCODING) -> ResponseMatch.UNIDENTIFIED
                else -> ResponseMatch.CURRENT
            }
        }

        private fun metadata(head: HttpResponse) = protocol.reply(head.status().code(), head.headers())
    }

    /** Reads the rest of the response that begins with [head]. */
    suspend fun read(connection: OutboundConnection, head: HttpResponse): SendResult.Responded {
        val body = connection.readBody()
        val metadata = protocol.reply(head.status().code(), head.headers())
        return SendResult.Responded(head.status().code(), head.headers(), metadata, body)
    }

    /**
     * Runs [block] with a connection to the replica on which [request] has not been sent before. The connection is
     * reused if [block] returns [ReadResult.Complete], and closed otherwise, which ends a run in progress.
     */
    suspend fun <T> use(
        state: ReplicaState,
        request: CallerRequest,
        tokens: Int,
        block: suspend (OutboundConnection) -> ReadResult<T>,
    ): T = connect(state, request, tokens).use(block)

    /** Returns a connection to the replica on which [request] has not been sent before. */
    suspend fun connect(state: ReplicaState, request: CallerRequest, tokens: Int): ReplicaExchange {
        state.requestStarted(tokens)
        var exchange: ReplicaExchange? = null
        try {
            val id = protocol.requestId(request.headers)
            val connection = pool.acquire(state.replica.address, id, request.sentOn).also { request.sentOn += it }
            return ReplicaExchange(pool, state, tokens, connection).also { exchange = it }
        } finally {
            if (exchange == null) state.requestEnded(tokens)
        }
    }

    /** Headers of the response to the caller, derived from a replica's [headers]. */
    fun toCaller(headers: HttpHeaders): HttpHeaders = protocol.toCaller(headers)

    /** The KV cache of a prefill at [address], or null if the response's [body] names none. */
    fun cache(address: String, body: ByteArray): KvCacheLocation? = protocol.cache(address, body)
}
