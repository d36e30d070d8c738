package fireflyhinge.forward

/**
 * What a request's head says that decides how it is handled.
 *
 * @property requestId id of the caller's attempt, or null if it has none.
 * @property deadlineMillis how long the caller waits, or null if it does not say.
 * @property key the caller's API key, or null.
 * @property tokens declared prompt tokens plus the most output tokens, or null.
 * @property lastEvent number of the last event of a stream that the caller already has, or null.
 */
data class RequestFacts(
    val requestId: String?,
    val deadlineMillis: Long?,
    val key: String?,
    val tokens: Int?,
    val lastEvent: Long?,
)
