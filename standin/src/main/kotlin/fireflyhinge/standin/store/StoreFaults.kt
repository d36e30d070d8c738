package fireflyhinge.standin.store

import java.util.concurrent.atomic.AtomicInteger

/** Faults of the store stand-in, changed by tests or through `/control/`. */
class StoreFaults {
    /** The current outage. */
    @Volatile var outage: OutageMode = OutageMode.OFF

    /** Delay added to each call. */
    @Volatile var delayMillis: Long = 0

    private val lostReplies = AtomicInteger()

    /** Drops the replies of the next [count] writes that take effect. */
    fun loseReplies(count: Int) = lostReplies.set(count)

    internal fun takeLostReply(): Boolean = lostReplies.getAndUpdate { maxOf(0, it - 1) } > 0
}
