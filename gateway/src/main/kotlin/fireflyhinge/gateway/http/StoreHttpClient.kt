package fireflyhinge.gateway.http

import fireflyhinge.gateway.fleet.KnownEra
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import java.io.IOException

/** HTTP client of the platform's store at [address], whose [era] its responses state. */
class StoreHttpClient internal constructor(
    private val client: HttpClient,
    private val address: String,
    val era: KnownEra = KnownEra(),
) {
    /**
     * Makes a call; throws [IOException] if no response begins within [timeoutMillis], or if its body exceeds the
     * limits of [transfer].
     */
    suspend fun call(
        method: String,
        path: String,
        body: ByteArray?,
        timeoutMillis: Long,
        transfer: BodyTransfer = BodyTransfer(),
    ): BufferedResponse {
        val headers = DefaultHttpHeaders()
        if (body != null) headers.add(HttpHeaderNames.CONTENT_TYPE, "application/json")
        return client.call(address, method, path, body ?: ByteArray(0), headers, timeoutMillis, transfer)
    }
}
