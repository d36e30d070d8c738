package fireflyhinge.standin.engine

import com.fasterxml.jackson.core.JsonProcessingException
import fireflyhinge.Json
import okhttp3.Call
import okhttp3.Callback
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Fetches KV caches from prefill replicas. */
internal class KvFetcher : AutoCloseable {
    private val client = OkHttpClient.Builder().readTimeout(0, TimeUnit.MILLISECONDS).build()

    init {
        client.dispatcher.maxRequests = MAX_CALLS
        client.dispatcher.maxRequestsPerHost = MAX_CALLS
    }

    /** Fetches [handle] from [address]; gives up once [stop] holds. */
    fun fetch(address: String, handle: String, stop: () -> Boolean): KvFetch {
        val call = client.newCall(Request.Builder().url("http://$address/v1/kv/$handle").build())
        val done = CompletableFuture<KvFetch>()
        call.enqueue(Completion(done))
        while (!stop()) {
            try {
                return done.get(SLICE_MILLIS, TimeUnit.MILLISECONDS)
            } catch (_: TimeoutException) {
                continue
            }
        }
        call.cancel()
        return KvFetch.Failed("cancelled")
    }

    override fun close() {
        client.dispatcher.cancelAll()
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private class Completion(private val done: CompletableFuture<KvFetch>) : Callback {
        override fun onFailure(call: Call, e: IOException) {
            done.complete(KvFetch.Failed(e.message ?: e.javaClass.simpleName))
        }

        override fun onResponse(call: Call, response: Response) {
            done.complete(
                try {
                    response.use { read(it) }
                } catch (e: JsonProcessingException) {
                    KvFetch.Failed("malformed answer: ${e.originalMessage}")
                } catch (e: IOException) {
                    KvFetch.Failed(e.message ?: e.javaClass.simpleName)
                },
            )
        }

        private fun read(response: Response): KvFetch =
            when {
                response.code == GONE -> KvFetch.Expired
                response.isSuccessful -> KvFetch.Fetched(Json.decode(response.body.string()))
                else -> KvFetch.Failed("status ${response.code}")
            }
    }

    private companion object {
        const val MAX_CALLS = 200
        const val SLICE_MILLIS = 20L
        const val GONE = 410
    }
}
