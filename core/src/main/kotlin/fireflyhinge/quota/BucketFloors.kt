package fireflyhinge.quota

import java.time.Duration

/** Floors of [bucket] that a successor may hold. Not thread-safe; times are the owner's monotonic nanoseconds. */
internal class BucketFloors(private val bucket: TokenBucket) {
    private val sent = ArrayList<SentFloor>()
    private var blocked = 0.0

    /** Tokens below which the level must not fall at [now]; 0 if no floor binds. */
    fun binding(now: Long): Double {
        sent.removeIf { now - it.sentAt > BINDING_NANOS }
        return sent.maxOfOrNull { it.tokens } ?: 0.0
    }

    /** Records a charge of [tokens] that waits for a lower floor. */
    fun block(tokens: Double) {
        blocked += tokens
    }

    /** Whether the successor should soon get a lower floor: a charge waits for it, or little is left above it. */
    fun needsLower(now: Long): Boolean = blocked > 0 || binding(now).let { it > 0 && bucket.level < it * MARGIN }

    /**
     * The floor to send to the successor with [sequence] under [entryEpoch], in whole tokens: half of the level, less
     * the charges that wait for it, or 0 if that is too little to be of use. It binds from [now] on.
     */
    fun send(entryEpoch: Long, sequence: Long, now: Long): Long {
        val tokens = ((bucket.level - blocked) / 2).toLong()
        blocked = 0.0
        if (tokens < bucket.limits.rate * SMALLEST_SECONDS) return 0
        sent += SentFloor(entryEpoch, sequence, tokens.toDouble(), sentAt = now)
        return tokens
    }

    /** The successor holds what was sent with [sequence] under [entryEpoch], and so nothing that was sent before. */
    fun acknowledged(entryEpoch: Long, sequence: Long) {
        sent.removeIf { it.epoch == entryEpoch && it.sequence < sequence }
    }

    private companion object {
        /** Longer than the 8 s between the last promise to an owner and the evidence on which its successor acts. */
        val BINDING_NANOS: Long = Duration.ofSeconds(9).toNanos()

        /** Asks for a new floor before the level reaches the old one: a quarter above it. */
        const val MARGIN = 1.25

        /** A smaller floor would only delay charges of a bucket that is nearly empty anyway. */
        const val SMALLEST_SECONDS = 0.5
    }
}
