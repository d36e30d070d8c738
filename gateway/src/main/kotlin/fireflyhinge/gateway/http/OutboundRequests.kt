package fireflyhinge.gateway.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion

/** Makes requests to servers. */
internal object OutboundRequests {
    private val empty = ByteArray(0)
    private val bodiless = setOf("GET", "HEAD", "DELETE", "OPTIONS")

    /** A request with [body]; its length is stated unless the method has none and [body] is empty. */
    fun of(method: String, uri: String, headers: HttpHeaders, body: ByteArray = empty): FullHttpRequest {
        val own = DefaultHttpHeaders().add(headers)
        if (body.isNotEmpty() || method !in bodiless) own.set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        val content = Unpooled.wrappedBuffer(body)
        val verb = HttpMethod.valueOf(method)
        return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, verb, uri, content, own, DefaultHttpHeaders())
    }
}
