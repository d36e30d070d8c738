package fireflyhinge.systemtest

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.util.concurrent.TimeUnit

/** JSON calls to the fleet. Each throws `IOException` when the answer is not a success. */
internal class JsonHttp {
    private val client = OkHttpClient.Builder().readTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).build()

    /** Posts [body] to [path] at [address]; the answer is null if it is not JSON. */
    fun post(
        address: String,
        path: String,
        body: Any,
        token: String? = null,
        headers: Map<String, String> = emptyMap(),
    ): JsonNode? {
        val request = Request.Builder().url("http://$address$path").post(Json.encode(body).toRequestBody())
        headers.forEach { (name, value) -> request.header(name, value) }
        return send(request.header("Content-Type", "application/json"), token)
    }

    /** Gets [path] at [address]; the answer is null if it is not JSON. */
    fun get(address: String, path: String, token: String? = null): JsonNode? =
        send(Request.Builder().url("http://$address$path"), token)

    /** Whether a get of [path] at [address] succeeds. */
    fun succeeds(address: String, path: String): Boolean =
        try {
            get(address, path)
            true
        } catch (_: IOException) {
            false
        }

    /** Deletes [path] at [address]. */
    fun delete(address: String, path: String): JsonNode? =
        send(Request.Builder().url("http://$address$path").delete(), token = null)

    private fun send(builder: Request.Builder, token: String?): JsonNode? {
        token?.let { builder.header("Authorization", "Bearer $it") }
        val request = builder.build()
        return client.newCall(request).execute().use { response ->
            val text = response.body.string()
            if (!response.isSuccessful) throw IOException("${request.url}: status ${response.code}: $text")
            if (text.startsWith("{") || text.startsWith("[")) Json.mapper.readTree(text) else null
        }
    }

    private companion object {
        const val TIMEOUT_SECONDS = 30L
    }
}
