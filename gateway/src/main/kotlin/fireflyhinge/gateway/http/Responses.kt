package fireflyhinge.gateway.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/** Creates a complete response with its `Content-Length`. */
internal fun fullResponse(status: Int, headers: HttpHeaders, body: ByteArray): FullHttpResponse {
    val response =
        DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(body),
            DefaultHttpHeaders().add(headers),
            DefaultHttpHeaders(),
        )
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
    return response
}
