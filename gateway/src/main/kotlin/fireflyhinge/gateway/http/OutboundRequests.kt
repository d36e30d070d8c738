package fireflyhinge.gateway.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion

/** Creates requests to servers. */
internal object OutboundRequests {
    private val emptyBody = ByteArray(0)
    private val methodsWithoutBody = setOf("GET", "HEAD", "DELETE", "OPTIONS")

    /** A request with [body]. `Content-Length` is left out if [body] is empty and the method usually has none. */
    fun of(method: String, uri: String, headers: HttpHeaders, body: ByteArray = emptyBody): FullHttpRequest {
        val copy = DefaultHttpHeaders().add(headers)
        if (body.isNotEmpty() || method !in methodsWithoutBody) copy.set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        val content = Unpooled.wrappedBuffer(body)
        val httpMethod = HttpMethod.valueOf(method)
        return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, httpMethod, uri, content, copy, DefaultHttpHeaders())
    }
}
