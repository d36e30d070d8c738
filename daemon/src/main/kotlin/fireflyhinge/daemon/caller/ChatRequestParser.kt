package fireflyhinge.daemon.caller

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json
import fireflyhinge.engine.ChatMessage
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import java.io.IOException

/**
 * Reads OpenAI-style chat completion requests. Sampling parameters are accepted and ignored. A parameter that would
 * change the form of the answer and is not supported is refused.
 */
object ChatRequestParser {
    /** Answer length when the request names none. */
    const val DEFAULT_MAX_TOKENS: Int = 1024

    /** Largest answer length that may be asked for. */
    const val MAX_TOKENS: Int = 32_768

    private val reader = Json.mapper.reader().with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
    private val roles = setOf("system", "developer", "user", "assistant", "tool")
    private val numbers =
        listOf("temperature", "top_p", "presence_penalty", "frequency_penalty", "seed", "top_logprobs")

    /** The request in [body], or the code and the name of the field at fault. */
    fun parse(body: ByteArray): Outcome<ChatRequest> =
        try {
            val root = reader.readTree(body)
            if (root.isMissingNode) Outcome.Failure(ResultCode.MALFORMED_JSON) else Outcome.Success(request(root))
        } catch (e: JacksonException) {
            val place = e.location?.let { "Line ${it.lineNr}, column ${it.columnNr}." }
            Outcome.Failure(ResultCode.MALFORMED_JSON, detail = place.orEmpty())
        } catch (e: IOException) {
            // Bytes that are not valid text in the encoding that the body starts with.
            Outcome.Failure(ResultCode.MALFORMED_JSON, detail = e.message.orEmpty())
        } catch (e: InvalidField) {
            Outcome.Failure(ResultCode.INVALID_PARAMETER, detail = e.message.orEmpty())
        }

    private fun request(root: JsonNode): ChatRequest {
        check(root.isObject) { "body: must be a JSON object." }
        numbers.forEach { name -> root.given(name)?.let { check(it.isNumber) { "$name: must be a number." } } }
        root.whole("n", 1..1)
        root.given("stream_options")?.let { options ->
            check(options.isObject) { "stream_options: must be an object." }
            options.flag("include_usage", "stream_options.include_usage")
        }
        val range = 1..MAX_TOKENS
        val longest = root.whole("max_tokens", range)
        return ChatRequest(
            model = root.text("model", "model"),
            messages = messages(root),
            maxTokens = root.whole("max_completion_tokens", range) ?: longest ?: DEFAULT_MAX_TOKENS,
            stream = root.flag("stream", "stream") ?: false,
        )
    }

    private fun messages(root: JsonNode): List<ChatMessage> {
        val list = root.given("messages")
        check(list != null && list.isArray && !list.isEmpty) { "messages: must be a list with at least one message." }
        return list.mapIndexed { i, message -> message(message, "messages[$i]") }
    }

    private fun message(node: JsonNode, path: String): ChatMessage {
        check(node.isObject) { "$path: must be an object." }
        val role = node.text("role", "$path.role")
        check(role in roles) { "$path.role: must be one of ${roles.joinToString()}." }
        return ChatMessage(role = role, content = content(node.given("content"), "$path.content"))
    }

    private fun content(node: JsonNode?, path: String): String {
        check(node != null && (node.isTextual || node.isArray)) { "$path: must be a string or a list of text parts." }
        if (node.isTextual) return node.textValue()
        return node.mapIndexed { i, part -> textPart(part, "$path[$i]") }.joinToString("\n")
    }

    private fun textPart(part: JsonNode, path: String): String {
        check(part.isObject && part.path("type").asText() == "text") { "$path.type: must be \"text\"." }
        check(part.path("text").isTextual) { "$path.text: must be a string." }
        return part.path("text").textValue()
    }
}
