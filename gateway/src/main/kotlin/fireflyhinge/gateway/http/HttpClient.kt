package fireflyhinge.gateway.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/**
 * Client for the router's own calls to servers: other VMs, the platform's store, and replicas. [matcher] separates the
 * responses to these calls from those to other requests on the same connections.
 */
internal class HttpClient(
    private val pool: ConnectionPool,
    private val matcher: ResponseMatcher = ResponseMatcher.AcceptAll,
) {
    /**
     * Calls [address] and reads the complete response. Throws [IOException] if it does not arrive within
     * [timeoutMillis], or, with a [transfer], if it does not begin within that time or its body stops arriving. A
     * connection on which a call failed is not reused.
     *
     * @param issuedId extracts an id that a server issues only once. A response with an id that was already seen on the
     * connection is a second response to an earlier call; the call then throws [DuplicateResponseException]. [issuedId]
     * may throw it too.
     */
    suspend fun call(
        address: String,
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
        headers: HttpHeaders = DefaultHttpHeaders(),
        timeoutMillis: Long,
        transfer: BodyTransfer? = null,
        issuedId: (BufferedResponse) -> String? = { null },
    ): BufferedResponse {
        var connection: OutboundConnection? = null
        var complete = false
        try {
            val (opened, head, buffered) =
                withTimeoutOrNull(timeoutMillis) {
                    val opened = pool.acquire(address).also { connection = it }
                    headers.set(HttpHeaderNames.HOST, address)
                    opened.send(OutboundRequests.of(method, path, headers, body), matcher = matcher)
                    val head = opened.readHead()
                    Triple(opened, head, if (transfer == null) opened.readBody() else null)
                } ?: throw IOException("$address did not respond within $timeoutMillis ms")
            transfer?.begin()
            val response = BufferedResponse(head.status().code(), head.headers(), buffered ?: opened.readBody(transfer))
            checkNotDuplicate(opened, issuedId(response))
            complete = true
            return response
        } finally {
            connection?.let { if (complete) pool.release(it) else it.close() }
        }
    }

    private fun checkNotDuplicate(connection: OutboundConnection, id: String?) {
        if (id != null && !connection.issuedIds.add(id)) {
            throw DuplicateResponseException("${connection.address} issued id $id a second time")
        }
    }
}
