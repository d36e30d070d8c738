package fireflyhinge.standin.engine

import fireflyhinge.engine.ChatMessage

/** What a KV cache stands for; sent from the prefill to the decode stand-in in place of its bytes. */
internal data class KvContent(
    val model: String,
    val messages: List<ChatMessage>,
    val resumedTokens: Int,
    val promptTokens: Int,
    val kvBytes: Long,
)
