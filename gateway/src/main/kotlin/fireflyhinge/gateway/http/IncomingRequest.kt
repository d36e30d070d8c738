package fireflyhinge.gateway.http

import fireflyhinge.forward.CallerLimits
import fireflyhinge.result.ResultCode
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/** The request that is being read from a connection. Its body counts against [memory] until it is released. */
internal class IncomingRequest(
    private val limits: () -> CallerLimits,
    private val memory: MemoryLimit,
    private val accept: () -> Boolean,
) {
    private var head: HttpRequest? = null
    private val body = BodyBuffer()
    private var complete = false

    /** Monotonic milliseconds at which the head was read, or null between requests. */
    @Volatile
    var since: Long? = null
        private set

    /** Adds a part of the request. Returns the reason to reject it, or null. */
    fun add(message: HttpObject): ResultCode? {
        val error = if (message is HttpRequest) begin(message) else null
        return error ?: if (message is HttpContent) addContent(message) else null
    }

    /**
     * Returns the request and whether the caller keeps the connection open, or null if the request is incomplete. The
     * code that takes it must release the memory of its body.
     */
    fun takeComplete(): Pair<CallerRequest, Boolean>? {
        val head = head?.takeIf { complete } ?: return null
        val bytes = body.toByteArray()
        val arrived = since ?: monotonicMillis()
        val request = CallerRequest(head.method().name(), head.uri(), head.headers(), bytes, arrived)
        clear()
        return request to HttpUtil.isKeepAlive(head)
    }

    /** Discards what was read and releases its memory. */
    fun discard() {
        memory.release(body.size)
        clear()
    }

    private fun clear() {
        head = null
        since = null
        complete = false
        body.clear()
    }

    private fun begin(message: HttpRequest): ResultCode? {
        head = message
        since = monotonicMillis()
        val headers = message.headers()
        val length = headers.get(HttpHeaderNames.CONTENT_LENGTH)?.toLongOrNull() ?: 0
        val encoded = headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
        // A replica could locate the end of the body differently than this VM does (request smuggling).
        val ambiguous = encoded && headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        return when {
            sizeOf(headers) > limits().headerBytes -> ResultCode.HEADERS_TOO_LARGE
            ambiguous || encoded && !HttpUtil.isTransferEncodingChunked(message) -> ResultCode.MALFORMED_REQUEST
            length > limits().bodyBytes -> ResultCode.BODY_TOO_LARGE
            !accept() -> ResultCode.CAPACITY_EXHAUSTED
            else -> null
        }
    }

    /** Checked here as well, since the limit may have changed after the decoder was configured. */
    private fun sizeOf(headers: HttpHeaders): Int = headers.sumOf { it.key.length + it.value.length }

    private fun addContent(content: HttpContent): ResultCode? {
        val bytes = ByteArray(content.content().readableBytes()).also { content.content().readBytes(it) }
        if (body.size + bytes.size > limits().bodyBytes) return ResultCode.BODY_TOO_LARGE
        if (!memory.tryReserve(bytes.size)) {
            memory.held.log.recordDecision(accepted = false)
            return ResultCode.CAPACITY_EXHAUSTED
        }
        body.add(bytes)
        complete = content is LastHttpContent
        return null
    }
}
