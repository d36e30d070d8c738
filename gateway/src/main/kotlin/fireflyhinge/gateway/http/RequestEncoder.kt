package fireflyhinge.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder

/**
 * Encodes requests with the bytes of the caller's target. The decoder reads each byte of a target as one character,
 * and [HttpRequestEncoder] would write those beyond ASCII as two bytes.
 */
internal class RequestEncoder : HttpRequestEncoder() {
    override fun encodeInitialLine(buffer: ByteBuf, request: HttpRequest) {
        val line = "${request.method()} ${request.uri()} ${request.protocolVersion()}\r\n"
        buffer.writeCharSequence(line, Charsets.ISO_8859_1)
    }
}
