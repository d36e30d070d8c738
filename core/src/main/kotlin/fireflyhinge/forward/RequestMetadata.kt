package fireflyhinge.forward

/**
 * What a request's head says that decides how it is handled.
 *
 * @property requestId id of the caller's attempt, or null if it has none.
 * @property deadlineMillis how long the caller waits, or null if it does not say.
 * @property key the caller's API key, or null.
 * @property promptTokens declared prompt tokens, or null.
 * @property outputTokens declared limit of output tokens, or null.
 * @property expectedOutputTokens the caller's estimate of output tokens, right in half of all cases, or null.
 * @property lastEvent number of the last event of a stream that the caller already has, or null.
 */
data class RequestMetadata(
    val requestId: String?,
    val deadlineMillis: Long?,
    val key: String?,
    val promptTokens: Int?,
    val outputTokens: Int?,
    val expectedOutputTokens: Int?,
    val lastEvent: Long?,
) {
    /** Tokens that the request may use, or null if it declares none. */
    val tokens: Int? get() = if (promptTokens == null) null else promptTokens + (outputTokens ?: 0)

    /**
     * KV memory, in tokens, that the request is expected to have taken at the end of its run. A replica that runs out
     * of memory interrupts a request and reads its prompt anew, which holds up all its other answers.
     */
    val expectedKvTokens: Int get() = (promptTokens ?: 0) + (expectedOutputTokens ?: outputTokens ?: 0)
}
