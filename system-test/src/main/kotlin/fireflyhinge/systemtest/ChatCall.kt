package fireflyhinge.systemtest

import fireflyhinge.engine.ChatMessage

/** One request of a caller; [intendedAt] is the time at which it should be sent, in monotonic nanoseconds. */
data class ChatCall(
    val workspace: String,
    val key: String,
    val model: String,
    val messages: List<ChatMessage>,
    val maxTokens: Int,
    val intendedAt: Long = System.nanoTime(),
)
