package fireflyhinge.daemon.peer

import com.fasterxml.jackson.core.JsonProcessingException
import fireflyhinge.Json
import fireflyhinge.address.HostPortValidator
import fireflyhinge.daemon.outbound.AnswerFraming
import fireflyhinge.daemon.outbound.AnswerLimit
import fireflyhinge.daemon.outbound.AnswerSockets
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.daemon.outbound.text
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import okhttp3.ConnectionPool
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * Peer messages over HTTP. Each peer has its own connection pool. After a failed call, the idle connections of that
 * peer alone are replaced, unless the peer has answered since the call was sent: an open connection can be silent for
 * good while new ones work.
 *
 * @param addressOf control address (`host:port`) of a VM id, or null if it is not known.
 * @param traceparent gives the W3C trace context of the calling thread, or null.
 * @param onResult is told the result of each message to a VM.
 */
class HttpPeerTransport(
    private val token: String,
    private val addressOf: (String) -> String?,
    private val traceparent: () -> String? = { null },
    private val onResult: (vm: String, PeerResult<*>) -> Unit = { _, _ -> },
) : PeerTransport {
    private val base =
        OkHttpClient.Builder()
            .connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .socketFactory(AnswerSockets)
            .addNetworkInterceptor(AnswerLimit(OutboundHttp.MAX_ANSWER_BYTES))
            .addNetworkInterceptor(AnswerFraming)
            .build()
    private val links = ConcurrentHashMap<String, Link>()

    override fun <T : Any> post(
        vm: String,
        path: String,
        message: Any,
        reply: Class<T>,
        timeoutMillis: Long,
    ): PeerResult<T> {
        val result = send(vm, path, message, reply, timeoutMillis)
        if (':' !in vm) onResult(vm, result)
        return result
    }

    private fun <T : Any> send(
        vm: String,
        path: String,
        message: Any,
        reply: Class<T>,
        timeoutMillis: Long,
    ): PeerResult<T> {
        val address = if (':' in vm) vm else addressOf(vm)
        val url = address?.takeIf(HostPortValidator::isValid)?.let { "http://$it$path".toHttpUrlOrNull() }
        if (url == null) return PeerResult.Unreachable("VM $vm has no known address, but '$address'")
        val request =
            Request.Builder()
                .url(url)
                .header("Authorization", "Bearer $token")
                .post(Json.mapper.writeValueAsBytes(message).toRequestBody(JSON))
        traceparent()?.let { request.header("traceparent", it) }
        val link = links.computeIfAbsent("${url.host}:${url.port}") { Link(newClient()) }
        val call = link.client.newCall(request.build())
        call.timeout().timeout(timeoutMillis, TimeUnit.MILLISECONDS)
        val answered = link.answers.get()
        return try {
            call.execute().use { decode(it, reply) }.also { link.answers.incrementAndGet() }
        } catch (e: ConnectException) {
            refusedOrUnreachable(e)
        } catch (e: NoRouteToHostException) {
            PeerResult.Unreachable(e.toString())
        } catch (e: IOException) {
            if (link.answers.get() == answered) link.client.connectionPool.evictAll()
            PeerResult.Failed(e.toString())
        }
    }

    private fun <T : Any> decode(response: Response, reply: Class<T>): PeerResult<T> {
        val text = response.text()
        if (!response.isSuccessful) return PeerResult.Failed("status ${response.code}")
        return try {
            PeerResult.Ok(Json.decode(text, reply))
        } catch (e: JsonProcessingException) {
            PeerResult.Failed("unreadable answer: ${e.originalMessage}")
        }
    }

    private fun refusedOrUnreachable(e: ConnectException): PeerResult<Nothing> {
        val refused = generateSequence<Throwable>(e) { it.cause }.any { it.message.orEmpty().contains("refused") }
        return if (refused) PeerResult.ConnectionRefused else PeerResult.Unreachable(e.toString())
    }

    private fun newClient(): OkHttpClient =
        base.newBuilder().connectionPool(ConnectionPool(MAX_IDLE, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)).build()

    /** The connections of one peer, and the number of whole answers that they brought. */
    private class Link(val client: OkHttpClient) {
        val answers = AtomicLong()
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1000L
        const val MAX_IDLE = 32
        const val KEEP_ALIVE_SECONDS = 30L
        val JSON = "application/json".toMediaType()
    }
}
