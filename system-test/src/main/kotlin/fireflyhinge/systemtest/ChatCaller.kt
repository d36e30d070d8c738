package fireflyhinge.systemtest

import fireflyhinge.Json
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.TimeUnit

/** A caller of the chat-completions API that records what it sees. Thread-safe; calls block. */
class ChatCaller {
    private val client =
        OkHttpClient.Builder()
            .dispatcher(Dispatcher().apply { maxRequests = MAX_CALLS })
            .connectionPool(ConnectionPool(MAX_CALLS, 1, TimeUnit.MINUTES))
            .connectTimeout(1, TimeUnit.SECONDS)
            .readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .retryOnConnectionFailure(false)
            .build()

    /** Sends [call] as a streamed request to [address] and reads the answer to its end. */
    fun stream(address: String, call: ChatCall): ChatOutcome {
        val reader = ChatStreamReader(call.workspace, call.intendedAt)
        return try {
            client.newCall(request(address, call)).execute().use { read(it, reader) }
        } catch (e: IOException) {
            reader.outcome(status = 0, failure = e.toString())
        }
    }

    private fun request(address: String, call: ChatCall): Request {
        val body =
            mapOf(
                "model" to call.model,
                "messages" to call.messages,
                "max_tokens" to call.maxTokens,
                "stream" to true,
                "stream_options" to mapOf("include_usage" to true),
            )
        return Request.Builder()
            .url("http://$address/v1/chat/completions")
            .header("Authorization", "Bearer ${call.key}")
            .post(Json.encode(body).toRequestBody("application/json".toMediaType()))
            .build()
    }

    private fun read(response: Response, reader: ChatStreamReader): ChatOutcome {
        if (!response.isSuccessful) {
            reader.error(Json.mapper.readTree(response.body.string()))
            return reader.outcome(response.code)
        }
        val source = response.body.source()
        return try {
            while (true) {
                val line = source.readUtf8Line() ?: break
                if (line.startsWith(DATA)) reader.event(line.removePrefix(DATA))
            }
            reader.outcome(response.code)
        } catch (e: IOException) {
            reader.outcome(response.code, failure = e.toString())
        }
    }

    private companion object {
        const val DATA = "data: "
        const val MAX_CALLS = 4096
        const val READ_TIMEOUT_SECONDS = 60L
    }
}
