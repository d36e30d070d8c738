package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import kotlin.math.exp

/** What this VM knows about one replica from its own requests. Thread-safe. */
class ReplicaState(replica: Replica, private val clock: MonotonicClock) {
    /** The newest description of the replica. */
    @Volatile
    var replica: Replica = replica
        internal set

    private var inFlight = 0
    private var ownTokens = 0L
    private var otherTokens = 0L
    private var load: ReplicaLoad? = null
    private var loadAt = 0L
    private var failures = 0
    private var failureShare = 0.0
    private var silentUntil = 0L
    private var fullUntil = 0L

    /** Requests of this VM that the replica has now. */
    val open: Int @Synchronized get() = inFlight

    /** Tokens of requests of this VM that the replica works on. */
    val tokens: Long @Synchronized get() = ownTokens

    /** Counts a request of [tokens] that is sent to the replica. */
    @Synchronized
    fun began(tokens: Int) {
        inFlight++
        ownTokens += tokens
    }

    /** Counts the end of a request of [tokens], however it ended. */
    @Synchronized
    fun ended(tokens: Int) {
        inFlight--
        ownTokens -= tokens
    }

    /** Takes over the sum of tokens that other VMs have at the replica. */
    @Synchronized
    fun othersHave(tokens: Long) {
        otherTokens = tokens
    }

    /** Takes over the load that an answer reported. */
    @Synchronized
    fun reported(next: ReplicaLoad) {
        load = next
        loadAt = clock.millis()
    }

    /** The replica answered. [good] is false for an answer that reports a failure of the replica itself. */
    @Synchronized
    fun answered(good: Boolean) {
        failures = 0
        silentUntil = 0
        failureShare += ((if (good) 0.0 else 1.0) - failureShare) * FAILURE_WEIGHT
    }

    /**
     * The replica gave no answer. It is left out for a while that doubles with each failure in a row, and then tried
     * again with ordinary requests.
     */
    @Synchronized
    fun silent() {
        failures++
        failureShare += (1 - failureShare) * FAILURE_WEIGHT
        val pause = minOf(FIRST_PAUSE_MILLIS shl minOf(failures - 1, MAX_DOUBLINGS), LONGEST_PAUSE_MILLIS)
        silentUntil = clock.millis() + pause
    }

    /** The replica said that it is full: it is left out for [FULL_PAUSE_MILLIS]. */
    @Synchronized
    fun full() {
        fullUntil = clock.millis() + FULL_PAUSE_MILLIS
    }

    /** Whether the replica is left out because it gave no answer lately. */
    val silent: Boolean @Synchronized get() = clock.millis() < silentUntil

    /** Whether the replica said a moment ago that it is full. */
    val full: Boolean @Synchronized get() = clock.millis() < fullUntil

    /** Tokens that fit into the replica's memory of [capacity] tokens besides those known to be there. */
    @Synchronized
    fun room(capacity: Int): Long = capacity - ownTokens - otherTokens

    /**
     * Expected load of the replica; 1 is a replica that is full. Replicas of models are measured by the tokens that all
     * VMs have there, plain ones by requests. The load that a replica reported fades, because it describes the moment
     * of an earlier answer. [capacity] is the replica's memory in tokens, or 0 for a plain one.
     */
    @Synchronized
    fun cost(capacity: Int): Double {
        val failing = maxOf(0.0, failureShare - TOLERATED_FAILURES) * FAILURE_COST
        return (if (capacity > 0) tokenLoad(capacity) else requestLoad()) + failing
    }

    private fun tokenLoad(capacity: Int): Double {
        val tokens = (ownTokens + otherTokens).toDouble()
        return if (replica.stage == ReplicaStage.PREFILL) tokens / PREFILL_QUEUE_TOKENS else tokens / capacity
    }

    private fun requestLoad(): Double {
        val seen = load
        val age = clock.millis() - loadAt
        val reported = if (seen == null) 0.0 else (seen.running + seen.waiting) * exp(-age / LOAD_FADE_MILLIS)
        val places = maxOf(1, seen?.slots ?: replica.slots)
        return maxOf(reported, inFlight.toDouble()) / places + inFlight / OWN_REQUESTS_SCALE
    }

    private companion object {
        /** Weight of one answer in the moving share of failures: some ten answers decide. */
        const val FAILURE_WEIGHT = 0.1

        /** Share of failures that sound replicas show as well, such as errors of the application. */
        const val TOLERATED_FAILURES = 0.2

        /** A replica that fails always costs as much as two that are full. */
        const val FAILURE_COST = 2.0

        /** A prefill replica reads some 50 tokens a millisecond; this many take half of the objective. */
        const val PREFILL_QUEUE_TOKENS = 25_000.0

        /** Own requests also count by number, since replicas with many places slow down with each of them. */
        const val OWN_REQUESTS_SCALE = 16.0

        /** Reported load loses two thirds of its weight in this time; replicas finish most requests within it. */
        const val LOAD_FADE_MILLIS = 400.0

        const val FIRST_PAUSE_MILLIS = 500L
        const val MAX_DOUBLINGS = 4
        const val LONGEST_PAUSE_MILLIS = 4_000L

        /** A full replica has room again after about one request's time. */
        const val FULL_PAUSE_MILLIS = 100L
    }
}
