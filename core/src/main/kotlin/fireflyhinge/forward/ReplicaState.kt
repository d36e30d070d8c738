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
    private val prefill = PrefillLoad()
    private var otherTokens = 0L
    private var load: ReplicaLoad? = null
    private var loadAt = 0L
    private val health = ReplicaHealth()
    private var fullUntil = 0L

    /** Requests of this VM that the replica has now. */
    val open: Int @Synchronized get() = inFlight

    /**
     * Tokens of this VM's requests that occupy the replica: those that it holds at a decode replica, and those of the
     * last second at a prefill replica, which reads a prompt faster than VMs hear of each other.
     */
    val tokens: Long
        @Synchronized get() =
            if (replica.stage == ReplicaStage.PREFILL) prefill.recent(clock.millis()) else ownTokens

    /** Counts a request of [tokens] that is sent to the replica. */
    @Synchronized
    fun requestStarted(tokens: Int) {
        inFlight++
        ownTokens += tokens
        prefill.sent(tokens, clock.millis())
    }

    /** Counts the end of a request of [tokens], however it ended. */
    @Synchronized
    fun requestEnded(tokens: Int) {
        inFlight--
        ownTokens -= tokens
    }

    /** Takes over the sum of tokens that other VMs have at the replica. */
    @Synchronized
    fun setRemoteTokens(tokens: Long) {
        otherTokens = tokens
    }

    /** A prompt of [tokens] was read within [elapsedMillis], or was not read within that time. */
    @Synchronized
    fun recordPrefill(tokens: Int, elapsedMillis: Long) = prefill.read(tokens, elapsedMillis, clock.millis())

    /** Takes over the load that an answer reported. */
    @Synchronized
    fun recordLoad(next: ReplicaLoad) {
        load = next
        loadAt = clock.millis()
    }

    /** The replica answered. [success] is false for an answer that reports a failure of the replica itself. */
    @Synchronized
    fun recordResponse(success: Boolean) = health.recordResponse(success)

    /** The replica gave no answer. It is left out for a while, and then tried again with ordinary requests. */
    @Synchronized
    fun recordNoResponse() = health.recordNoResponse(clock.millis())

    /** Whether the replica is left out because it gave no answer lately. */
    val unresponsive: Boolean @Synchronized get() = health.inBackoff(clock.millis())

    /** Whether the replica said that it is full, within the last [FULL_PAUSE_MILLIS]. */
    var full: Boolean
        @Synchronized get() = clock.millis() < fullUntil

        @Synchronized set(value) {
            fullUntil = if (value) clock.millis() + FULL_PAUSE_MILLIS else 0
        }

    /** Tokens by which the requests known to be at the replica are expected to grow. */

    /** Tokens that fit into the replica's memory of [capacity] tokens besides those known to be there. */
    @Synchronized
    fun availableTokens(capacity: Int): Long = capacity - ownTokens - otherTokens

    /**
     * Expected load of the replica; 1 is a replica that is full. Replicas of models are measured by the tokens that all
     * VMs have there, plain ones by requests. The load that a replica reported fades, because it describes the moment
     * of an earlier answer. [capacity] is the replica's memory in tokens, or 0 for a plain one.
     */
    @Synchronized
    fun cost(capacity: Int): Double {
        val load =
            when (replica.stage) {
                ReplicaStage.PREFILL -> prefill.wait(ownTokens, otherTokens, clock.millis())
                ReplicaStage.DECODE -> (ownTokens + otherTokens).toDouble() / maxOf(1, capacity)
                ReplicaStage.PLAIN -> requestLoad()
            }
        return health.cost + load
    }

    private fun requestLoad(): Double {
        val seen = load
        val age = clock.millis() - loadAt
        val reported = if (seen == null) 0.0 else (seen.running + seen.waiting) * exp(-age / LOAD_FADE_MILLIS)
        val places = maxOf(1, seen?.slots ?: replica.slots)
        return maxOf(reported, inFlight.toDouble()) / places + inFlight / OWN_REQUESTS_SCALE
    }

    private companion object {
        /** Own requests also count by number, since replicas with many places slow down with each of them. */
        const val OWN_REQUESTS_SCALE = 16.0

        /** Reported load loses two thirds of its weight in this time; replicas finish most requests within it. */
        const val LOAD_FADE_MILLIS = 400.0

        /** A full replica has room again after about one request's time. */
        const val FULL_PAUSE_MILLIS = 100L
    }
}
