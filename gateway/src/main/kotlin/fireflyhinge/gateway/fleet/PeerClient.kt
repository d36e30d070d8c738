package fireflyhinge.gateway.fleet

import fireflyhinge.gateway.http.HttpClient
import java.io.IOException

/** Client of the control interface of other VMs. */
internal class PeerClient(private val calls: HttpClient) {
    /** Posts [body] to [path] at [address]. Throws [IOException] if no successful response comes in time. */
    suspend fun post(address: String, path: String, body: ByteArray, millis: Long = CALL_MILLIS): ByteArray =
        call(address, "POST", path, body, millis)

    /** Reads [path] at [address]. */
    suspend fun get(address: String, path: String): ByteArray = call(address, "GET", path, ByteArray(0), CALL_MILLIS)

    private suspend fun call(address: String, method: String, path: String, body: ByteArray, millis: Long): ByteArray {
        val reply = calls.call(address, method, path, body, timeoutMillis = millis)
        if (reply.status != OK) throw IOException("$path on $address returned status ${reply.status}")
        return reply.body
    }

    private companion object {
        const val OK = 200

        /** Ten round trips between regions. */
        const val CALL_MILLIS = 600L
    }
}
