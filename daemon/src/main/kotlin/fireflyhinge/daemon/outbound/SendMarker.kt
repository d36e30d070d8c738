package fireflyhinge.daemon.outbound

import fireflyhinge.CallId
import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException
import java.net.ProtocolException

/**
 * Sets the [SendMark] of a request once a connection is there, just before the first byte is written, and fails calls
 * whose answer does not repeat their [CallId]: a kept connection may hold a late second answer to an earlier call.
 */
internal object SendMarker : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        chain.request().tag(SendMark::class.java)?.let { prepare(chain = chain, mark = it) }
        val response = chain.proceed(chain.request())
        if (response.header(CallId.HEADER) != chain.request().header(CallId.HEADER)) {
            throw ProtocolException("the answer does not name the call")
        }
        // OkHttp would send the request again by itself on 503 with "Retry-After: 0".
        return response.newBuilder().removeHeader("Retry-After").build()
    }

    private fun prepare(chain: Interceptor.Chain, mark: SendMark) {
        val socket = chain.connection()?.socket()
        if (mark.checkConnection && socket?.isClosedByPeer() == true) {
            // OkHttp drops pooled connections whose socket is closed.
            socket.close()
            throw IOException("the server had closed the idle connection")
        }
        if (!mark.permitted()) throw IOException("the request may not be sent any more")
        mark.socket = socket as? AnswerSocket
        mark.sent = true
    }
}
