package fireflyhinge.systemtest

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json

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
