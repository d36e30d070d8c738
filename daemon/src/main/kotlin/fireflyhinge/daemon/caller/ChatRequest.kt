package fireflyhinge.daemon.caller

import fireflyhinge.engine.ChatMessage

/**
 * A checked chat completion request.
 *
 * @property maxTokens highest number of tokens of the answer.
 * @property stream whether the answer is sent token by token.
 */
data class ChatRequest(val model: String, val messages: List<ChatMessage>, val maxTokens: Int, val stream: Boolean)
