package fireflyhinge.forward

/**
 * What the model requests of a service need on average.
 *
 * @property promptTokens declared tokens of the prompt.
 * @property memoryTokens KV memory at the end of the answer, in tokens.
 * @property decodeMillis time from the send to a decode replica until the end of the answer.
 */
data class RequestAverages(val promptTokens: Double, val memoryTokens: Double, val decodeMillis: Double)
