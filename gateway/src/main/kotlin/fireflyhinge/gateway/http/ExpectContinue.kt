package fireflyhinge.gateway.http

import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

/** Handles `Expect: 100-continue` for the caller of [output]: the caller sends the body only after a 100 response. */
internal class ExpectContinue(private val output: CallerOutput) {
    private var pending = false

    /** Must be called for each part of a request that arrives. */
    fun onPart(part: HttpObject) {
        if (part is HttpRequest) pending = HttpUtil.is100ContinueExpected(part)
    }

    /** Sends the 100 response if the caller waits for one. No other response may be in progress. */
    fun sendIfPending() {
        if (!pending) return
        pending = false
        output.write(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE), 0)
    }

    /** Must be called when the request is complete. */
    fun requestCompleted() {
        pending = false
    }
}
