package fireflyhinge.daemon.caller

import fireflyhinge.result.Outcome

/** How a model request ended. */
sealed interface ModelResult {
    /** The whole answer was handed to the sink. */
    data class Answered(
        val finishReason: String,
        val promptTokens: Int,
        val cachedTokens: Int,
        val completionTokens: Int,
    ) : ModelResult

    /** The answer is missing or incomplete. */
    data class Failed(val failure: Outcome.Failure) : ModelResult

    /** The caller left; there is nobody to answer. */
    data object Departed : ModelResult
}
