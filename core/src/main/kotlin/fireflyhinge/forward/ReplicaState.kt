package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import kotlin.math.exp

/**
 * Load and health of one replica as seen by this VM. Thread-safe.
 *
 * @param startAgeMillis time since the replica's start when it was first listed, or null if unknown.
 * @param isEvacuated whether a failure domain is evacuated now.
 */
class ReplicaState(
    replica: Replica,
    private val clock: MonotonicClock,
    startAgeMillis: Long? = null,
    private val prefillRates: PrefillRates = PrefillRates(clock, enabled = { false }),
    private val isEvacuated: (String) -> Boolean = { false },
) {
    /** For how long the replica is cold. */
    val warmth = ReplicaWarmth(clock, startAgeMillis).also { state -> replica.coldLeftMillis?.let(state::recordCold) }

    /** The most recently listed description of the replica. */
    @Volatile
    var replica: Replica = replica
        internal set(next) {
            if (field.leaving) availability.announceLeaving()
            // The value counts from the write of an entry, so one that is only listed again states nothing.
            if (next != field) next.coldLeftMillis?.let(warmth::recordCold)
            field = next
        }

    /** What the replica said about new requests of this VM. */
    val availability = ReplicaAvailability(clock)

    private var inFlight = 0
    private var ownTokens = 0L
    private val prefill = PrefillLoad()
    private var remoteTokens = 0L
    private var load: ReplicaLoad? = null
    private var loadAt = 0L
    private val health = ReplicaHealth()
    private var fullUntil = 0L

    /** What reports and own requests tell about the replica's load and speed. */
    val estimate = ReplicaLoadEstimate(clock.millis())

    /** Requests of this VM in flight at the replica. */
    val open: Int @Synchronized get() = inFlight

    /**
     * Tokens of this VM's requests at the replica: those in flight for a decode replica, and those of the last second
     * for a prefill replica, which completes a prompt faster than VMs update each other.
     */
    val tokens: Long
        @Synchronized get() =
            if (replica.stage == ReplicaStage.PREFILL) prefill.recent(clock.millis()) else ownTokens

    /** Records a request of [tokens] sent to the replica. */
    @Synchronized
    fun requestStarted(tokens: Int) {
        inFlight++
        ownTokens += tokens
        prefill.sent(tokens, clock.millis())
        estimate.sent()
    }

    /** Records the end of a request of [tokens], whatever its outcome. */
    @Synchronized
    fun requestEnded(tokens: Int) {
        inFlight--
        ownTokens -= tokens
    }

    /** Sets the sum of the tokens of other VMs at the replica. */
    @Synchronized
    fun setRemoteTokens(tokens: Long) {
        remoteTokens = tokens
    }

    /** Records a prefill of [tokens] that completed after [elapsedMillis] or, if not [completed], timed out then. */
    @Synchronized
    fun recordPrefill(tokens: Int, elapsedMillis: Long, completed: Boolean = true) {
        if (completed) prefillRates.record(replica.id, tokens, elapsedMillis)
        prefill.read(tokens, elapsedMillis, clock.millis())
        if (tokens >= MIN_SPEED_TOKENS) estimate.served(elapsedMillis * SPEED_TOKENS / tokens)
    }

    /** Rate at which the replica prefills prompts, as measured by all VMs; null if unknown. */
    val tokensPerMilli: Double? get() = prefillRates.tokensPerMilli(replica.id)

    /** The load that the replica reported most recently, or null. */
    val reportedLoad: ReplicaLoad? @Synchronized get() = load

    /** Records the load reported with a response. */
    @Synchronized
    fun recordLoad(next: ReplicaLoad) {
        load = next
        loadAt = clock.millis()
        estimate.reported(next, replica.slots, loadAt)
    }

    /** The current [estimate]. */
    internal val expectation: ReplicaLoadEstimate.Snapshot
        @Synchronized get() = estimate.at(clock.millis(), replica.slots, inFlight)

    /** Records a response. [success] is false if it reports a failure of the replica itself. */
    @Synchronized
    fun recordResponse(success: Boolean) = health.recordResponse(success)

    /** Records a missing response. The replica is excluded during a backoff and then retried with regular requests. */
    @Synchronized
    fun recordNoResponse() = health.recordNoResponse(clock.millis())

    /** Whether the replica is listed as leaving or announced it. That holds until its process ends. */
    val leaving: Boolean get() = replica.leaving || availability.leaving

    /** Whether the replica's failure domain is evacuated, so that nothing new may be sent to the replica. */
    val evacuated: Boolean get() = isEvacuated(replica.failureDomain)

    /** Whether the replica accepts new requests of this VM. */
    val accepting: Boolean
        get() = !leaving && !evacuated && !availability.replaced && availability.backoffMillis == 0L

    /** Whether the replica is in backoff because it recently did not respond. */
    val unresponsive: Boolean @Synchronized get() = health.inBackoff(clock.millis())

    /** Whether the replica reported that it is full within the last [FULL_BACKOFF_MILLIS]. */
    var full: Boolean
        @Synchronized get() = clock.millis() < fullUntil

        @Synchronized set(value) {
            fullUntil = if (value) clock.millis() + FULL_BACKOFF_MILLIS else 0
        }

    /** Free tokens of the replica's KV cache of [capacity] tokens, as known to this VM. */
    @Synchronized
    fun availableTokens(capacity: Int): Long = capacity - ownTokens - remoteTokens

    /**
     * Expected load of the replica; 1 is a full replica. Model replicas are rated by the tokens of all VMs, plain ones
     * by requests. A reported load decays, because it describes the time of an earlier response. [capacity] is the KV
     * cache capacity in tokens, or 0 for a plain replica. [expected] is used instead of the decayed report, and adds to
     * what is known of a model replica.
     */
    @Synchronized
    fun cost(capacity: Int, expected: ExpectedLoad? = null): Double {
        val fill = expected?.fill ?: 0.0
        val load =
            when (replica.stage) {
                ReplicaStage.PREFILL -> {
                    val wait = prefill.wait(ownTokens, remoteTokens, clock.millis(), tokensPerMilli)
                    maxOf(wait, fill * PROMPT_OBJECTIVES) * (expected?.pace ?: 1.0)
                }
                ReplicaStage.DECODE -> maxOf((ownTokens + remoteTokens).toDouble() / maxOf(1, capacity), fill)
                ReplicaStage.PLAIN -> expected?.fill ?: requestLoad()
            }
        return health.cost + load
    }

    private fun requestLoad(): Double {
        val seen = load
        val age = clock.millis() - loadAt
        val reported = if (seen == null) 0.0 else (seen.running + seen.waiting) * exp(-age / LOAD_DECAY_MILLIS)
        val slots = maxOf(1, seen?.slots ?: replica.slots)
        return maxOf(reported, inFlight.toDouble()) / slots + inFlight / IN_FLIGHT_SCALE
    }

    private companion object {
        /** Prefill time of a mean prompt in latency objectives. */
        const val PROMPT_OBJECTIVES = 0.11

        /** The time for a shorter prompt says little about a replica's speed; it is scaled to a mean prompt. */
        const val MIN_SPEED_TOKENS = 1_000
        const val SPEED_TOKENS = 5_000.0

        /** In-flight requests also count by number, since replicas with many slots slow down with each. */
        const val IN_FLIGHT_SCALE = 16.0

        /** A reported load loses two thirds of its weight in this time; most requests finish within it. */
        const val LOAD_DECAY_MILLIS = 400.0

        /** A full replica has a free slot again after about the duration of one request. */
        const val FULL_BACKOFF_MILLIS = 100L
    }
}
