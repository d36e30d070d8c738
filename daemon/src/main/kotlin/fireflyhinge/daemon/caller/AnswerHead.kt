package fireflyhinge.daemon.caller

/** Fields that all parts of one answer share. [created] is in seconds since 1970. */
internal data class AnswerHead(val requestId: String, val model: String, val created: Long) {
    /** The shared fields of an object of type [type]. */
    fun fields(type: String): Map<String, Any> =
        linkedMapOf("id" to "chatcmpl-$requestId", "object" to type, "created" to created, "model" to model)

    /** Token counts of [answer]. */
    fun usage(answer: ModelResult.Answered): Map<String, Any> =
        linkedMapOf(
            "prompt_tokens" to answer.promptTokens,
            "completion_tokens" to answer.completionTokens,
            "total_tokens" to answer.promptTokens + answer.completionTokens,
            "prompt_tokens_details" to mapOf("cached_tokens" to answer.cachedTokens),
        )

    /** A whole answer with [text]. */
    fun whole(text: String, answer: ModelResult.Answered): Map<String, Any> {
        val message = linkedMapOf("role" to "assistant", "content" to text)
        val choice = linkedMapOf("index" to 0, "message" to message, "finish_reason" to answer.finishReason)
        return fields("chat.completion") + mapOf("choices" to listOf(choice), "usage" to usage(answer))
    }
}
