package fireflyhinge.gateway.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/**
 * The system's own calls to servers: other VMs, the platform's store, and replicas. [answers] tells their answers from
 * those to requests that were sent on the same connections.
 */
internal class HttpCalls(
    private val pool: ConnectionPool,
    private val answers: AnswerMatcher = AnswerMatcher.Any,
) {
    /**
     * Makes a call to [address] and reads the whole answer. Throws [IOException] if it does not come within [millis]. A
     * connection on which a call failed is not used again.
     *
     * @param gives reads an id that a server gives out once. An answer with one that came on the same connection before
     * is a second answer to an earlier call, which throws [RepeatedAnswer], as [gives] may do itself.
     */
    suspend fun call(
        address: String,
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
        headers: HttpHeaders = DefaultHttpHeaders(),
        millis: Long,
        gives: (HttpReply) -> String? = { null },
    ): HttpReply {
        var connection: OutboundConnection? = null
        var whole = false
        try {
            val reply =
                withTimeoutOrNull(millis) {
                    val opened = pool.acquire(address).also { connection = it }
                    headers.set(HttpHeaderNames.HOST, address)
                    opened.send(OutboundRequests.of(method, path, headers, body), answers = answers)
                    read(opened).also { reply -> checkFirst(opened, gives(reply)) }
                }
            whole = reply != null
            return reply ?: throw IOException("$address did not answer in $millis ms")
        } finally {
            connection?.let { if (whole) pool.release(it) else it.close() }
        }
    }

    private fun checkFirst(connection: OutboundConnection, id: String?) {
        if (id != null && !connection.given.add(id)) throw RepeatedAnswer("$id was given before")
    }

    private suspend fun read(connection: OutboundConnection): HttpReply {
        val head = connection.head()
        return HttpReply(head.status().code(), connection.wholeBody())
    }
}
