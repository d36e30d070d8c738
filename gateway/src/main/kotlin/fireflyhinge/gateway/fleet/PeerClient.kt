package fireflyhinge.gateway.fleet

import fireflyhinge.gateway.http.BodyTransfer
import fireflyhinge.gateway.http.BufferedResponse
import fireflyhinge.gateway.http.HttpClient
import java.io.IOException

/** Client of the control interface of other VMs. */
internal class PeerClient(private val calls: HttpClient) {
    /** Posts [body] to [path] at [address]. Throws [IOException] if no successful response comes in time. */
    suspend fun post(address: String, path: String, body: ByteArray, millis: Long = CALL_MILLIS): ByteArray =
        body(calls.call(address, "POST", path, body, timeoutMillis = millis), path, address)

    /** Reads [path], which may be large, at [address], where the response begins within [millis]. */
    suspend fun get(address: String, path: String, millis: Long = CALL_MILLIS): ByteArray =
        body(calls.call(address, "GET", path, timeoutMillis = millis, transfer = BodyTransfer()), path, address)

    private fun body(reply: BufferedResponse, path: String, address: String): ByteArray {
        if (reply.status != OK) throw IOException("$path on $address returned status ${reply.status}")
        return reply.body
    }

    companion object {
        private const val OK = 200

        /** Ten round trips between regions. */
        const val CALL_MILLIS = 600L
    }
}
