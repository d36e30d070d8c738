package fireflyhinge.quota

import java.time.Duration

/**
 * Floors of [bucket]: levels that were promised to the successor, which starts its bucket with them after a takeover.
 * Not thread-safe; times are the owner's monotonic nanoseconds.
 */
internal class BucketFloors(private val bucket: TokenBucket) {
    private val sent = ArrayList<SentFloor>()
    private var blockedTokens = 0.0

    /** Level below which the bucket must not fall at [now]; 0 if no floor is in force. */
    fun bindingFloor(now: Long): Double {
        sent.removeIf { now - it.sentAt > BINDING_NANOS }
        return sent.maxOfOrNull { it.tokens } ?: 0.0
    }

    /** Records a charge of [tokens] that cannot be granted until the successor has a lower floor. */
    fun recordBlocked(tokens: Double) {
        blockedTokens += tokens
    }

    /** Whether the successor needs a lower floor soon: a charge waits for it, or little is left above the floor. */
    fun needsLower(now: Long): Boolean =
        blockedTokens > 0 || bindingFloor(now).let { it > 0 && bucket.level < it * UPDATE_FACTOR }

    /**
     * Issues a floor to send to the successor with [sequence] under [entryEpoch], in whole tokens: half of the level
     * after the blocked charges, or 0 if that is too small to be useful. It is in force from [now] on.
     */
    fun issue(entryEpoch: Long, sequence: Long, now: Long): Long {
        val tokens = ((bucket.level - blockedTokens) / 2).toLong()
        blockedTokens = 0.0
        if (tokens < bucket.limits.rate * MIN_FLOOR_SECONDS) return 0
        sent += SentFloor(entryEpoch, sequence, tokens.toDouble(), sentAt = now)
        return tokens
    }

    /** The successor acknowledged the floor with [sequence] under [entryEpoch], so earlier floors no longer bind. */
    fun acknowledged(entryEpoch: Long, sequence: Long) {
        sent.removeIf { it.epoch == entryEpoch && it.sequence < sequence }
    }

    private companion object {
        /** Longer than the 8 s between the last promise to an owner and the evidence on which its successor acts. */
        val BINDING_NANOS: Long = Duration.ofSeconds(9).toNanos()

        /** A new floor is requested once the level is less than a quarter above the current one. */
        const val UPDATE_FACTOR = 1.25

        /** A smaller floor would only delay charges of a nearly empty bucket. */
        const val MIN_FLOOR_SECONDS = 0.5
    }
}
