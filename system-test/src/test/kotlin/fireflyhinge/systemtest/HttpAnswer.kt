package fireflyhinge.systemtest

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json

/** Status and body of an answer; status 0 if the connection ended without one. */
internal data class HttpAnswer(val status: Int, val body: String) {
    /** Numbered result code of an error. */
    val code: String? get() = error?.get("code")?.asText()

    /** What an error states about whether the call ran. */
    val run: String? get() = error?.get("run")?.asText()

    /** The body as JSON, or null. */
    val json: JsonNode? get() = body.takeIf { it.startsWith("{") }?.let { Json.mapper.readTree(it) }

    private val error: JsonNode? get() = json?.get("error")
}
