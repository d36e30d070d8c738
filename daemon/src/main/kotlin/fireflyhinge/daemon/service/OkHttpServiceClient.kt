package fireflyhinge.daemon.service

import fireflyhinge.daemon.caller.CallerLink
import fireflyhinge.daemon.outbound.AnswerFraming
import fireflyhinge.daemon.outbound.AnswerLimit
import fireflyhinge.daemon.outbound.AnswerSockets
import okhttp3.Call
import okhttp3.ConnectionPool
import okhttp3.EventListener
import okhttp3.HttpUrl
import okhttp3.Interceptor
import okhttp3.MediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.Response
import okio.BufferedSink
import java.io.IOException
import java.io.InterruptedIOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Sends each request once, on a connection of its own. A pooled connection may be closed by the upstream at the moment
 * it is used, and then it is unknown whether the request ran.
 */
class OkHttpServiceClient(private val limits: ServiceLimits = ServiceLimits()) : ServiceClient {
    private val client =
        OkHttpClient
            .Builder()
            .connectionPool(ConnectionPool(maxIdleConnections = 0, keepAliveDuration = 1, timeUnit = TimeUnit.SECONDS))
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .connectTimeout(limits.connectMillis, TimeUnit.MILLISECONDS)
            .readTimeout(limits.silenceMillis, TimeUnit.MILLISECONDS)
            .writeTimeout(limits.silenceMillis, TimeUnit.MILLISECONDS)
            .callTimeout(limits.totalMillis, TimeUnit.MILLISECONDS)
            .eventListenerFactory { call -> call.request().tag(SentMark::class.java) ?: EventListener.NONE }
            .addNetworkInterceptor(Interceptor(::hideRetryAfter))
            .addNetworkInterceptor(AnswerFraming)
            .addNetworkInterceptor(AnswerLimit(limits.answerBytes))
            .socketFactory(AnswerSockets)
            .build()

    override fun send(address: String, request: ServiceRequest, caller: CallerLink?): SendResult {
        val mark = SentMark()
        val call = client.newCall(build(address, request, mark))
        return try {
            if (caller == null) execute(call) else caller.onDeparture(call::cancel) { execute(call) }
        } catch (e: InterruptedIOException) {
            failed(mark, e, timedOut = true)
        } catch (e: IOException) {
            failed(mark, e, timedOut = false)
        }
    }

    private fun failed(mark: SentMark, cause: IOException, timedOut: Boolean): SendResult {
        val reason = cause.message ?: cause.javaClass.simpleName
        return if (mark.sent) SendResult.Lost(reason, timedOut) else SendResult.NotSent(reason)
    }

    private fun execute(call: Call): SendResult =
        call.execute().use { response ->
            val source = response.body.source()
            if (source.request(limits.answerBytes + 1)) return SendResult.TooLarge
            SendResult.Answered(ServiceAnswer(response.code, headersOf(response), source.readByteArray()))
        }

    private fun headersOf(response: Response): List<Pair<String, String>> =
        response.headers.map { (name, value) -> (if (name == HIDDEN) RETRY_AFTER else name) to value }

    private fun build(address: String, request: ServiceRequest, mark: SentMark): Request {
        val host = address.substringBeforeLast(':').removeSurrounding("[", "]")
        val url =
            HttpUrl
                .Builder()
                .scheme("http")
                .host(host)
                .port(address.substringAfterLast(':').toInt())
                .encodedPath(request.path)
                .encodedQuery(request.query)
                .build()
        val builder = Request.Builder().url(url).tag(SentMark::class.java, mark)
        request.headers.forEach { (name, value) -> builder.addHeader(name, value) }
        // OkHttp would otherwise ask for compression and undo it, which changes the answer.
        if (request.headers.none { it.first.equals("Accept-Encoding", ignoreCase = true) }) {
            builder.header("Accept-Encoding", "identity")
        }
        builder.header("Connection", "close")
        return builder.method(request.method, bodyOf(request)).build()
    }

    private fun bodyOf(request: ServiceRequest): RequestBody? {
        val bodiless = request.method == "GET" || request.method == "HEAD"
        return if (bodiless) null else OneShotBody(request)
    }

    /** A body that OkHttp must not send again. */
    private class OneShotBody(private val request: ServiceRequest) : RequestBody() {
        // The request has the caller's own Content-Type header, if any.
        override fun contentType(): MediaType? = null

        override fun contentLength(): Long = request.body.size.toLong()

        override fun isOneShot(): Boolean = true

        override fun writeTo(sink: BufferedSink) {
            sink.write(request.body)
        }
    }

    /** Notes whether a byte of the request may have been sent. */
    private class SentMark : EventListener() {
        private val started = AtomicBoolean()

        val sent: Boolean get() = started.get()

        override fun requestHeadersStart(call: Call) = started.set(true)
    }

    private companion object {
        const val RETRY_AFTER = "Retry-After"
        const val HIDDEN = "X-Fireflyhinge-Retry-After"

        /** OkHttp sends a request again, whatever its settings, after 503 with `Retry-After: 0`. */
        fun hideRetryAfter(chain: Interceptor.Chain): Response {
            val response = chain.proceed(chain.request())
            val value = response.header(RETRY_AFTER) ?: return response
            return response
                .newBuilder()
                .removeHeader(RETRY_AFTER)
                .header(HIDDEN, value)
                .build()
        }
    }
}
