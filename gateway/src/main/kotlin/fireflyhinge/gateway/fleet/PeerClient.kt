package fireflyhinge.gateway.fleet

import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.http.OutboundConnection
import fireflyhinge.gateway.http.OutboundRequests
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.withTimeout
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Calls of the control interface of other VMs. */
internal class PeerClient(private val pool: ConnectionPool) {
    /** Posts [body] to [path] at [address]; returns the answer's body. Throws [IOException] if none comes in time. */
    suspend fun post(address: String, path: String, body: ByteArray, millis: Long = CALL_MILLIS): ByteArray =
        call(address, "POST", path, body, millis)

    /** Reads [path] at [address]. */
    suspend fun get(address: String, path: String): ByteArray = call(address, "GET", path, ByteArray(0), CALL_MILLIS)

    private suspend fun call(address: String, method: String, path: String, body: ByteArray, millis: Long): ByteArray {
        val connection = pool.acquire(address)
        var whole = false
        try {
            val answer = withTimeout(millis) { exchange(connection, method, path, body) }
            whole = true
            return answer
        } catch (e: kotlinx.coroutines.TimeoutCancellationException) {
            throw IOException("$address did not answer in $millis ms", e)
        } finally {
            if (whole) pool.release(connection) else connection.close()
        }
    }

    private suspend fun exchange(
        connection: OutboundConnection,
        method: String,
        path: String,
        body: ByteArray,
    ): ByteArray {
        val headers = DefaultHttpHeaders().add(HttpHeaderNames.HOST, connection.address)
        connection.send(OutboundRequests.of(method, path, headers, body))
        val head = connection.head()
        val answer = ByteArrayOutputStream()
        while (true) answer.writeBytes(connection.body() ?: break)
        if (head.status().code() != OK) throw IOException("$path answered ${head.status().code()}")
        return answer.toByteArray()
    }

    private companion object {
        const val OK = 200

        /** Ten round trips between regions. */
        const val CALL_MILLIS = 600L
    }
}
