package fireflyhinge.systemtest

/**
 * What a caller saw of one request. Times are nanoseconds of the monotonic clock.
 *
 * @property intendedAt time at which the request should have been sent.
 * @property tokenTimes time of each content chunk.
 * @property whole whether the explicit end with a token count arrived.
 * @property code numbered result code of a refusal or an error event, if any.
 * @property run the `run` statement of a refusal or an error event, if any.
 */
data class ChatOutcome(
    val workspace: String,
    val intendedAt: Long,
    val endedAt: Long,
    val tokenTimes: List<Long>,
    val text: String,
    val whole: Boolean,
    val status: Int,
    val code: String? = null,
    val run: String? = null,
    val promptTokens: Int = 0,
    val completionTokens: Int = 0,
    val failure: String? = null,
) {
    /** Time from the intended send to the first token in milliseconds, or null if no token came. */
    val firstTokenMillis: Double? get() = tokenTimes.firstOrNull()?.let { (it - intendedAt) / NANOS_PER_MILLI }

    /** Times between successive tokens in milliseconds. */
    val gapsMillis: List<Double> get() = tokenTimes.zipWithNext { a, b -> (b - a) / NANOS_PER_MILLI }

    /** Whether the answer is whole, started within 1.3 s and had 95 in 100 token gaps within 61 ms. */
    fun meetsTargets(): Boolean {
        val first = firstTokenMillis ?: return false
        val gaps = gapsMillis
        return whole && first <= FIRST_TOKEN_MILLIS && gaps.count { it <= GAP_MILLIS } >= gaps.size * GAP_SHARE
    }

    private companion object {
        const val NANOS_PER_MILLI = 1e6
        const val FIRST_TOKEN_MILLIS = 1300.0
        const val GAP_MILLIS = 61.0
        const val GAP_SHARE = 0.95
    }
}
