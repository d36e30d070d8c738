package fireflyhinge.daemon.service

/**
 * Limits of calls to plain services, times in milliseconds.
 *
 * @property connectMillis longest time to open a connection.
 * @property silenceMillis longest silence of an upstream that got the request.
 * @property totalMillis longest time for a whole call.
 * @property answerBytes largest answer.
 * @property attempts replicas that are tried for one call.
 * @property claimWaitMillis longest wait for the answer of another attempt with the same key.
 * @property claimPollMillis time between two reads of a claim during that wait.
 * @property claimWriteMillis longest time in which a claim whose write got no reply is written again.
 */
data class ServiceLimits(
    val connectMillis: Long = 1000,
    val silenceMillis: Long = 15_000,
    val totalMillis: Long = 30_000,
    val answerBytes: Long = 16_000_000,
    val attempts: Int = 3,
    val claimWaitMillis: Long = 5000,
    val claimPollMillis: Long = 250,
    val claimWriteMillis: Long = 3000,
)
