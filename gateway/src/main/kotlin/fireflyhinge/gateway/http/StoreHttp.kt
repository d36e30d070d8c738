package fireflyhinge.gateway.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.io.IOException

/** HTTP calls to the platform's store at [address]. A connection on which a call failed is not used again. */
class StoreHttp internal constructor(private val pool: ConnectionPool, private val address: String) {
    /** An answer of the store. */
    class Reply(val status: Int, val body: ByteArray)

    /** Makes a call; throws [IOException] if no whole answer comes within [millis]. */
    suspend fun call(method: String, path: String, body: ByteArray?, millis: Long): Reply {
        val connection = pool.acquire(address)
        var whole = false
        try {
            val reply = withTimeoutOrNull(millis) { exchange(connection, method, path, body) }
            whole = reply != null
            return reply ?: throw IOException("the store did not answer in $millis ms")
        } finally {
            if (whole) pool.release(connection) else connection.close()
        }
    }

    private suspend fun exchange(
        connection: OutboundConnection,
        method: String,
        path: String,
        body: ByteArray?,
    ): Reply {
        val headers = DefaultHttpHeaders().add(HttpHeaderNames.HOST, address)
        if (body != null) headers.add(HttpHeaderNames.CONTENT_TYPE, "application/json")
        connection.send(OutboundRequests.of(method, path, headers, body ?: ByteArray(0)))
        val head = connection.head()
        val answer = ByteArrayOutputStream()
        while (true) answer.writeBytes(connection.body() ?: break)
        return Reply(head.status().code(), answer.toByteArray())
    }
}
