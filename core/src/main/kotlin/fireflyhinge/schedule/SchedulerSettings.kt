package fireflyhinge.schedule

/**
 * Limits and initial estimates of a cell. Times are in milliseconds unless the name says otherwise.
 *
 * @property firstTokenMillis target for the time to first token.
 * @property minimumWaitMillis time after arrival during which an interactive request always counts as on time; without
 * it, a prompt whose prefill alone exceeds the target would always be late.
 * @property stepMarginMillis margin on the predicted end of a decode, for the delay of release messages.
 * @property prefillBacklogMillis longest backlog in an engine's queue; further requests wait in the fair queue.
 * @property linkWaitMillis maximum wait for a link after the prefill; engines keep a result for less than a second.
 * @property requestTtlMillis time for which a request stays queued after the requester last sent it.
 * @property ticketTtlMillis time for which a ticket is valid after a renewal.
 * @property unknownTicketMillis age at which a request with an unknown ticket is cancelled.
 * @property takeoverGraceMillis time during which a new owner places nothing and waits for renewals, which holders send
 * once a second.
 * @property minimumClassWeight minimum fraction of the tokens for batch requests while other classes wait.
 * @property lateClassWeight minimum fraction of the tokens for late interactive requests while other classes wait.
 * @property estimateMargin factor by which an estimated wait must exceed the limit before a request is refused at once;
 * a request that only might exceed the limit stays queued until the limit has passed.
 * @property kvBytesPerToken size of the KV cache per token, from which the duration of a link reservation follows.
 * @property prefixBlocks capacity of the prefix cache estimate per replica, in blocks of 1,000 tokens.
 */
data class SchedulerSettings(
    val firstTokenMillis: Long = 1_300,
    val minimumWaitMillis: Long = 250,
    val stepMarginMillis: Long = 50,
    val prefillBacklogMillis: Long = 150,
    val linkWaitMillis: Long = 300,
    val requestTtlMillis: Long = 5_000,
    val ticketTtlMillis: Long = 10_000,
    val unknownTicketMillis: Long = 10_100,
    val takeoverGraceMillis: Long = 1_200,
    val minimumClassWeight: Double = 0.1,
    val lateClassWeight: Double = 0.05,
    val estimateMargin: Double = 1.5,
    val interactiveQueueLimit: Int = 1_000,
    val batchQueueLimit: Int = 10_000,
    val prefixBlocks: Int = 4_096,
    val kvBytesPerToken: Long = 20_000,
    val initialPrefillTokensPerMilli: Double = 10.0,
    val initialStepMillis: Double = 40.0,
    val policy: CellPolicy = CellPolicy.RESERVING,
) {
    internal val classWeights: Map<QueueClass, Double>
        get() = mapOf(QueueClass.LATE to lateClassWeight, QueueClass.BATCH to minimumClassWeight)
}
