package fireflyhinge.daemon.outbound

import okhttp3.Interceptor
import okhttp3.Response

/** Sets the [SendMark] of a request once a connection is there, just before the first byte is written. */
internal object SendMarker : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        chain.request().tag(SendMark::class.java)?.sent = true
        val response = chain.proceed(chain.request())
        // OkHttp would send the request again by itself on 503 with "Retry-After: 0".
        return response.newBuilder().removeHeader("Retry-After").build()
    }
}
