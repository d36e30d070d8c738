package fireflyhinge.engine

/**
 * A finished prefill, kept by the engine until it expires.
 *
 * @property kvHandle names the KV cache at the prefill replica.
 * @property promptTokens tokens of the prompt, resumed tokens included.
 * @property cachedTokens tokens of the prompt that were taken from the prefix cache.
 * @property kvBytes size of the KV cache to transfer.
 * @property expiresInMillis time until the engine drops the KV cache, from the moment of the answer.
 */
data class PrefillResult(
    val id: EngineRequestId,
    val kvHandle: String,
    val promptTokens: Int,
    val cachedTokens: Int,
    val kvBytes: Long,
    val expiresInMillis: Long,
)
