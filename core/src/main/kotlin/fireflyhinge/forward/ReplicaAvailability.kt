package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * What was said about new requests of this VM at the address of one incarnation of a replica. Unlike [ReplicaHealth], a
 * later response never revokes it. Thread-safe.
 */
class ReplicaAvailability(private val clock: MonotonicClock) {
    private var backoffUntil = Long.MIN_VALUE

    /** Whether the replica announced that it leaves. It keeps running the requests that it has. */
    @get:Synchronized
    var leaving = false
        private set

    private var replacedUntil = Long.MIN_VALUE

    /** Whether another process recently answered at the replica's address. */
    val replaced: Boolean
        @Synchronized get() = clock.millis() < replacedUntil

    /** Milliseconds until the replica wants requests again, or 0. */
    val backoffMillis: Long
        @Synchronized get() = clock.millis().let { now -> if (backoffUntil <= now) 0 else backoffUntil - now }

    /** Records that the replica leaves. Returns whether that is news. */
    @Synchronized
    fun announceLeaving(): Boolean = !leaving.also { leaving = true }

    /**
     * Records that the replica wants no requests for [millis], of which at most [MAX_BACKOFF_MILLIS] count. A shorter
     * backoff does not end a longer one. Returns whether the replica wanted requests until now.
     */
    @Synchronized
    fun requestBackoff(millis: Long): Boolean {
        val news = backoffMillis == 0L
        backoffUntil = maxOf(backoffUntil, clock.millis() + millis.coerceIn(0, MAX_BACKOFF_MILLIS))
        return news && backoffMillis > 0
    }

    /** Records that another process answered at the replica's address. Returns whether that is news. */
    @Synchronized
    fun recordReplaced(): Boolean = !replaced.also { replacedUntil = clock.millis() + REPLACED_MILLIS }

    /** Bounds of what a replica may ask for. */
    companion object {
        /** Replicas that end disappear from the list sooner, unless the store is away. */
        private const val REPLACED_MILLIS = 30_000L

        /** A replica that states an absurd time is tried again after this one. */
        const val MAX_BACKOFF_MILLIS = 300_000L
    }
}
