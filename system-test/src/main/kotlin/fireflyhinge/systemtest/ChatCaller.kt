package fireflyhinge.systemtest

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json
import fireflyhinge.engine.ChatMessage
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

    /** Sends [messages] as a streamed request to [address] and reads the answer to its end. */
    fun stream(
        address: String,
        workspace: String,
        key: String,
        model: String,
        messages: List<ChatMessage>,
        maxTokens: Int,
        intendedAt: Long = System.nanoTime(),
    ): ChatOutcome {
        val body =
            Json.encode(
                mapOf(
                    "model" to model,
                    "messages" to messages,
                    "max_tokens" to maxTokens,
                    "stream" to true,
                    "stream_options" to mapOf("include_usage" to true),
                ),
            )
        val request =
            Request.Builder()
                .url("http://$address/v1/chat/completions")
                .header("Authorization", "Bearer $key")
                .post(body.toRequestBody("application/json".toMediaType()))
                .build()
        val reader = ChatStreamReader(workspace, intendedAt)
        return try {
            client.newCall(request).execute().use { read(it, reader) }
        } catch (e: IOException) {
            reader.outcome(status = 0, failure = e.toString())
        }
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

/** Collects the events of one answer. */
internal class ChatStreamReader(private val workspace: String, private val intendedAt: Long) {
    private val text = StringBuilder()
    private val times = mutableListOf<Long>()
    private var finished = false
    private var done = false
    private var usage: JsonNode? = null
    private var error: JsonNode? = null

    fun event(data: String) {
        if (data == "[DONE]") {
            done = true
            return
        }
        val node = Json.mapper.readTree(data)
        if (node.has("error")) error(node)
        node["usage"]?.takeIf { it.isObject }?.let { usage = it }
        val choice = node["choices"]?.get(0) ?: return
        choice["delta"]?.get("content")?.asText()?.takeIf { it.isNotEmpty() }?.let {
            times += System.nanoTime()
            text.append(it)
        }
        if (choice["finish_reason"]?.isTextual == true) finished = true
    }

    fun error(node: JsonNode) {
        error = node["error"]
    }

    fun outcome(status: Int, failure: String? = null): ChatOutcome =
        ChatOutcome(
            workspace = workspace,
            intendedAt = intendedAt,
            endedAt = System.nanoTime(),
            tokenTimes = times.toList(),
            text = text.toString(),
            whole = finished && done && usage != null && error == null,
            status = status,
            code = error?.get("code")?.asText(),
            run = error?.get("run")?.asText(),
            promptTokens = usage?.get("prompt_tokens")?.asInt() ?: 0,
            completionTokens = usage?.get("completion_tokens")?.asInt() ?: 0,
            failure = failure,
        )
}
