package fireflyhinge.engine

/**
 * A finished prefill, kept by the engine until it expires.
 *
 * @property kvHandle identifies the KV cache at the prefill replica.
 * @property promptTokens tokens of the prompt, including resumed tokens.
 * @property cachedTokens tokens of the prompt that were found in the prefix cache.
 * @property kvBytes size of the KV cache to transfer.
 * @property expiresInMillis time from the response until the engine evicts the KV cache.
 */
data class PrefillResult(
    val id: EngineRequestId,
    val kvHandle: String,
    val promptTokens: Int,
    val cachedTokens: Int,
    val kvBytes: Long,
    val expiresInMillis: Long,
)
