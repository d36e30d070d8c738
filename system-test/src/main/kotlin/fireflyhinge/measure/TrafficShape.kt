package fireflyhinge.measure

/**
 * Sizes of one workspace's requests, drawn evenly from the ranges.
 *
 * @property share share of the fleet's requests.
 * @property prefixTokens length of a prefix that the workspace's requests have in common, in tokens.
 * @property promptTokens further tokens of the prompt.
 * @property outputTokens tokens of the answer.
 */
data class TrafficShape(
    val share: Double,
    val prefixTokens: Int,
    val promptTokens: IntRange,
    val outputTokens: IntRange,
) {
    val meanPrompt: Double get() = prefixTokens + (promptTokens.first + promptTokens.last) / 2.0
    val meanOutput: Double get() = (outputTokens.first + outputTokens.last) / 2.0
}
