package fireflyhinge.engine

import fireflyhinge.config.Priority

/**
 * Asks a prefill replica to run the prefill of a prompt.
 *
 * @property cacheScope workspace whose cached prefixes may be used; the engine never shares prefixes between scopes.
 * @property resumedTokens tokens that were already sent to the caller; they follow the prompt.
 */
data class PrefillRequest(
    val id: EngineRequestId,
    val holder: Holder,
    val ticket: String,
    val model: String,
    val cacheScope: String,
    val messages: List<ChatMessage>,
    val resumedTokens: List<String> = emptyList(),
    val priority: Priority = Priority.INTERACTIVE,
)
