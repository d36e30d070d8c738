package fireflyhinge.daemon.quota

import java.util.concurrent.ThreadLocalRandom

/**
 * Exponential backoff with jitter for charges whose owner replies late or not at all. If all requesters retried at the
 * same time, a slow owner could stay too slow for all of them. Not thread-safe.
 */
internal class RetryBackoff {
    private var maxDelay = QuotaTimes.MIN_RETRY_DELAY_MILLIS

    /** Milliseconds until the next retry: random, so that requesters do not retry together. */
    fun nextMillis(): Long {
        val max = maxDelay
        maxDelay = minOf(2 * max, QuotaTimes.MAX_RETRY_DELAY_MILLIS)
        return ThreadLocalRandom.current().nextLong(max / 2, max + 1)
    }
}
