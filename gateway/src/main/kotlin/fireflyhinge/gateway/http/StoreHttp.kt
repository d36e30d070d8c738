package fireflyhinge.gateway.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import java.io.IOException

/** HTTP calls to the platform's store at [address]. */
class StoreHttp internal constructor(private val calls: HttpCalls, private val address: String) {
    /** Makes a call; throws [IOException] if no whole answer comes within [millis]. */
    suspend fun call(method: String, path: String, body: ByteArray?, millis: Long): HttpReply {
        val headers = DefaultHttpHeaders()
        if (body != null) headers.add(HttpHeaderNames.CONTENT_TYPE, "application/json")
        return calls.call(address, method, path, body ?: ByteArray(0), headers, millis)
    }
}
