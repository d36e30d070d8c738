package fireflyhinge.measure

import fireflyhinge.engine.ChatMessage

/**
 * One request of a load run.
 *
 * @property atNanos intended send time, from the start of the run.
 * @property region region of the caller.
 * @property outputTokens tokens of the expected answer.
 */
data class PlannedRequest(
    val atNanos: Long,
    val workspace: String,
    val region: String,
    val failureDomain: String,
    val messages: List<ChatMessage>,
    val promptTokens: Int,
    val outputTokens: Int,
    val maxTokens: Int,
)
