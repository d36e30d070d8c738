package fireflyhinge.systemtest

import fireflyhinge.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Sends single HTTP calls and reports whatever comes back. Repeats nothing by itself. */
internal class HttpCaller {
    private val client =
        OkHttpClient.Builder()
            .connectTimeout(2, TimeUnit.SECONDS)
            .readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .retryOnConnectionFailure(false)
            .build()

    /** Sends [body] as JSON with [headers]; a connection that ends without an answer has status 0. */
    fun send(
        address: String,
        method: String,
        path: String,
        headers: Map<String, String> = emptyMap(),
        body: Any? = null,
    ): HttpAnswer {
        val content = (body?.let { Json.encode(it) } ?: "").toRequestBody().takeUnless { method == "GET" }
        val request = Request.Builder().url("http://$address$path").method(method, content)
        headers.forEach { (name, value) -> request.header(name, value) }
        return try {
            client.newCall(request.build()).execute().use { HttpAnswer(it.code, it.body.string()) }
        } catch (e: IOException) {
            HttpAnswer(status = 0, body = e.toString())
        }
    }

    private companion object {
        const val READ_TIMEOUT_SECONDS = 30L
    }
}
