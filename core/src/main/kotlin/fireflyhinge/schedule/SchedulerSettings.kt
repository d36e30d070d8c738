package fireflyhinge.schedule

/**
 * Limits and initial estimates of a cell. Times are in milliseconds unless the name says otherwise.
 *
 * @property firstTokenMillis target of the time to first token.
 * @property minimumWaitMillis time after its arrival for which an interactive request always counts as on time. Without
 * it a prompt whose prefill alone exceeds the target would always be late.
 * @property stepMarginMillis slack on the predicted end of a decode, for release messages on their way.
 * @property prefillBacklogMillis longest work that may wait in an engine; more waits in the fair queue instead.
 * @property linkWaitMillis longest wait for a link after the prefill; engines keep a result for less than a second.
 * @property requestTtlMillis time for which a queued request stays after its asker was last heard from.
 * @property unknownTicketMillis age at which a request with an unknown ticket is cancelled.
 * @property takeoverGraceMillis time for which a new owner waits for renewals, which holders send once a second.
 * @property minimumClassWeight part of the tokens that batch requests get at least while others wait.
 * @property lateClassWeight part of the tokens that late interactive requests get at least while others wait.
 * @property estimateMargin factor by which an estimated wait must exceed the limit before a request is refused at once;
 * a request that merely might be late is kept until its limit has passed.
 * @property kvBytesPerToken size of the KV cache, for the time that a link is reserved.
 * @property prefixBlocks blocks of 1,000 tokens believed per replica.
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
