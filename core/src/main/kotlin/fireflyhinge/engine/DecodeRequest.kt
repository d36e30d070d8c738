package fireflyhinge.engine

/**
 * Asks a decode replica to generate from an imported KV cache.
 *
 * @property maxTokens maximum number of tokens of the whole answer, including resumed tokens.
 * @property firstIndex index in the answer of the first token to send; 0 unless resumed.
 */
data class DecodeRequest(val id: EngineRequestId, val maxTokens: Int, val firstIndex: Int = 0)
