package fireflyhinge.daemon.outbound

import fireflyhinge.CallId
import okhttp3.Call
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import okhttp3.Request
import java.util.UUID
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * HTTP calls to the store and to engines. A call is sent at most once, unless nothing was sent or it is idempotent;
 * then one more attempt is made on a new connection, because open connections may be silent while new ones work.
 *
 * @param connectMillis limit for opening a connection.
 * @param traceparent gives the W3C trace context of the calling thread, or null.
 */
class OutboundHttp(connectMillis: Long = 1_000, private val traceparent: () -> String? = { null }) : AutoCloseable {
    private val process = UUID.randomUUID()
    private val calls = AtomicLong()
    private val executor = Executors.newCachedThreadPool { Thread(it, "outbound-http").apply { isDaemon = true } }
    private val pooled =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(connectMillis, TimeUnit.MILLISECONDS)
            // Each call has its own limit; this one only ends reads that nobody waits for any more.
            .readTimeout(STRAY_READ_SECONDS, TimeUnit.SECONDS)
            .connectionPool(ConnectionPool(MAX_IDLE, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
            .dispatcher(
                Dispatcher(executor).apply {
                    maxRequests = MAX_CALLS
                    maxRequestsPerHost = MAX_CALLS
                },
            ).socketFactory(AnswerSockets)
            .addNetworkInterceptor(AnswerLimit(MAX_ANSWER_BYTES))
            .addNetworkInterceptor(AnswerFraming)
            .addNetworkInterceptor(SendMarker)
            .build()
    private val unpooled = pooled.newBuilder().connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS)).build()

    /**
     * Sends [request] and waits for the whole answer, at most [timeoutMillis], or twice as long if it is [idempotent]
     * and the first attempt was sent and not answered. [permitted] is asked just before the first byte is sent.
     */
    internal fun exchange(
        request: Request,
        timeoutMillis: Long,
        idempotent: Boolean,
        permitted: () -> Boolean = { true },
    ): Exchange {
        val start = System.nanoTime()
        val mark = SendMark(checkConnection = !idempotent, permitted = permitted)
        val first = attempt(request, timeoutMillis, mark, newConnection = false)
        val left = timeoutMillis - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)
        val secondLimit =
            when {
                first is Exchange.NotSent -> left
                first is Exchange.NoAnswer && idempotent -> timeoutMillis
                else -> 0
            }
        if (secondLimit <= 0) return first
        val second = SendMark(checkConnection = false, permitted = permitted)
        return attempt(request, secondLimit, second, newConnection = true)
    }

    private fun attempt(request: Request, timeoutMillis: Long, mark: SendMark, newConnection: Boolean): Exchange {
        val callback = ReplyCallback(mark)
        val call = open(request = request, mark = mark, newConnection = newConnection)
        call.timeout().timeout(timeoutMillis, TimeUnit.MILLISECONDS)
        call.enqueue(callback)
        return try {
            callback.exchange.get()
        } catch (_: InterruptedException) {
            call.cancel()
            Thread.currentThread().interrupt()
            Exchange.Interrupted
        }
    }

    /** Prepares a call that sets [mark] when it sends. */
    internal fun open(request: Request, mark: SendMark, newConnection: Boolean): Call {
        val marked = request.newBuilder().tag(SendMark::class.java, mark)
        marked.header(CallId.HEADER, "$process-${calls.incrementAndGet()}")
        traceparent()?.let { marked.header("traceparent", it) }
        return (if (newConnection) unpooled else pooled).newCall(marked.build())
    }

    override fun close() {
        pooled.dispatcher.cancelAll()
        pooled.connectionPool.evictAll()
        executor.shutdown()
    }

    internal companion object {
        /** Largest body of a whole answer; the longest is a list of the store. */
        const val MAX_ANSWER_BYTES = 32_000_000L
        private const val MAX_CALLS = 10_000
        private const val MAX_IDLE = 128
        private const val KEEP_ALIVE_SECONDS = 30L
        private const val STRAY_READ_SECONDS = 120L
    }
}
