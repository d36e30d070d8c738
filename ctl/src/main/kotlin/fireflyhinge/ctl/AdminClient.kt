package fireflyhinge.ctl

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.NullNode
import fireflyhinge.Json
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.util.concurrent.TimeUnit

/**
 * Calls the admin API of the first daemon that answers. Each change carries a change id, so that it can be sent to
 * another daemon when an answer is lost: it is applied once.
 */
class AdminClient(private val servers: List<String>, private val token: String) {
    private val http =
        OkHttpClient.Builder()
            .connectTimeout(CONNECT_SECONDS, TimeUnit.SECONDS)
            .callTimeout(CALL_SECONDS, TimeUnit.SECONDS)
            .build()

    /** Sends a call and returns the answer; throws [CtlFailure]. */
    fun call(method: String, path: String, query: Map<String, String> = emptyMap(), body: String? = null): JsonNode {
        val failures = servers.map { server ->
            try {
                return send(server, method, path, query, body)
            } catch (e: IOException) {
                server to e
            }
        }
        val sent = method != "GET" && failures.any { (_, e) -> e !is java.net.ConnectException }
        val exit = if (sent) ExitCode.UNKNOWN else ExitCode.UNREACHABLE
        throw CtlFailure(exit, failures.joinToString("; ") { (server, e) -> "$server: ${e.message}" })
    }

    private fun send(
        server: String,
        method: String,
        path: String,
        query: Map<String, String>,
        body: String?,
    ): JsonNode {
        val address = if (server.contains("://")) server else "http://$server"
        val url =
            address.toHttpUrlOrNull()?.newBuilder()
                ?: throw CtlFailure(ExitCode.USAGE, "--server must be host:port or a URL, not '$server'")
        path.split('/').forEach(url::addPathSegment)
        query.forEach { (name, value) -> url.addQueryParameter(name, value) }
        val content = if (method == "GET") null else body.orEmpty().toRequestBody(JSON)
        val request =
            Request.Builder().url(url.build()).method(method, content).header("Authorization", "Bearer $token").build()
        return http.newCall(request).execute().use { response -> decode(response.code, response.body.string()) }
    }

    private fun decode(status: Int, text: String): JsonNode {
        val tree =
            try {
                Json.mapper.readTree(text)
            } catch (_: JsonProcessingException) {
                NullNode.instance
            }
        if (status in SUCCESS) return tree
        val error = tree.path("error")
        val code = error.path("code").asText("HTTP $status")
        throw CtlFailure(exitOf(code), "$code ${error.path("message").asText(text)}")
    }

    private fun exitOf(code: String): ExitCode =
        when (code) {
            "FH-7002" -> ExitCode.CONFLICT
            "FH-7001", "FH-7008" -> ExitCode.UNREACHABLE
            "FH-7007", "FH-9001" -> ExitCode.UNKNOWN
            else -> ExitCode.REFUSED
        }

    private companion object {
        const val CONNECT_SECONDS = 2L

        /** Longer than a daemon's own limit for resolving a lost store reply. */
        const val CALL_SECONDS = 20L
        val SUCCESS = 200..299
        val JSON = "application/json".toMediaType()
    }
}
