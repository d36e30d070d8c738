package fireflyhinge.forward

/**
 * Metadata of a request from its headers.
 *
 * @property requestId id of the caller's attempt, or null.
 * @property deadlineMillis time the caller waits for the response, or null.
 * @property key the caller's API key, or null.
 * @property promptTokens declared prompt tokens, or null.
 * @property outputTokens declared limit of output tokens, or null.
 * @property expectedOutputTokens the caller's estimate of output tokens, accurate in half of all cases, or null.
 * @property lastEvent number of the last stream event the caller has received, or null.
 * @property resumedRequestId id of the caller's attempt that brought the first event of the stream that this one
 * continues, or null.
 * @property model the model that the request names, or null.
 * @property promptParts ids of the parts of the prompt that other requests may share, in order; without the last part,
 * which belongs to the request or its session.
 */
data class RequestMetadata(
    val requestId: String?,
    val deadlineMillis: Long?,
    val key: String?,
    val promptTokens: Int?,
    val outputTokens: Int?,
    val expectedOutputTokens: Int?,
    val lastEvent: Long?,
    val resumedRequestId: String? = null,
    val model: String? = null,
    val promptParts: List<String> = emptyList(),
) {
    /** Maximum tokens of the request, or null if it declares none. */
    val tokens: Int? get() = if (promptTokens == null) null else promptTokens + (outputTokens ?: 0)

    /**
     * Expected KV cache size at the end of the request, in tokens. A replica that runs out of memory preempts a request
     * and prefills its prompt again, which delays all its other responses.
     */
    val expectedKvTokens: Int get() = (promptTokens ?: 0) + (expectedOutputTokens ?: outputTokens ?: 0)
}
