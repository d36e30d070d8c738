package fireflyhinge.engine

/** One message of a chat request. */
data class ChatMessage(val role: String, val content: String)
