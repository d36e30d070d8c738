package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock

/**
 * State of all replicas that the platform lists. Thread-safe.
 *
 * @param versions software versions, which hold decode replicas of a new one back; null to hold none back.
 */
class ReplicaTable(
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val prefillRates: PrefillRates = PrefillRates(clock, enabled = { false }),
    private val versions: ServiceVersions? = null,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) {
    private var states = emptyMap<String, ReplicaState>()

    /** Failure domains to whose replicas nothing new may be sent. */
    @Volatile
    var evacuatedDomains = emptySet<String>()

    /** Replicas whose entries are gone although their processes may run on, oldest first; entries may return. */
    private val unlisted = LinkedHashMap<String, ReplicaState>()

    /** Replaces the list of replicas and retains the state of unchanged processes. */
    @Synchronized
    fun replace(replicas: Collection<Replica>) {
        val before = states
        states = replicas.associate { it.id to stateOf(it) }
        before.filterKeys { it !in states }.filterValues { !it.accepting }.forEach(unlisted::put)
        unlisted.keys -= states.keys
        unlisted.keys -= unlisted.keys.take(maxOf(0, unlisted.size - MAX_UNLISTED)).toSet()
    }

    /** Replicas of [service] at [stage] that accept new requests. */
    @Synchronized
    fun usable(service: String, stage: ReplicaStage): List<ReplicaState> =
        listed(service, stage).filter { state ->
            val mayBegin = stage != ReplicaStage.DECODE || versions?.mayBegin(service, state.replica.version) != false
            state.accepting && mayBegin
        }

    /** Whether [state] belongs to a listed replica that accepts new requests. */
    @Synchronized
    fun usable(state: ReplicaState): Boolean = states[state.replica.id] === state && state.accepting

    /** Replicas of [service] at [stage] that stay and that [filter] allows, but that want a pause from this VM. */
    @Synchronized
    fun backingOff(
        service: String,
        stage: ReplicaStage,
        filter: ReplicaFilter = ReplicaFilter.ANY,
    ): List<ReplicaState> =
        listed(service, stage)
            .filter { filter.allows(it) && !it.leaving && !it.evacuated && it.availability.backoffMillis > 0 }

    /**
     * Milliseconds until a replica of [service] at [stage] that [filter] allows accepts requests again. Null if one
     * does now, or if it is unknown when one will.
     */
    @Synchronized
    fun backoffMillis(service: String, stage: ReplicaStage, filter: ReplicaFilter = ReplicaFilter.ANY): Long? =
        if (usable(service, stage).none(filter::allows)) {
            backingOff(service, stage, filter).minOfOrNull { it.availability.backoffMillis }
        } else {
            null
        }

    /** All listed replicas of [service] at [stage]. */
    @Synchronized
    fun listed(service: String, stage: ReplicaStage): List<ReplicaState> =
        states.values.filter { it.replica.service == service && it.replica.stage == stage }

    /** Tokens of this VM at each replica; replicas without tokens are omitted. */
    @Synchronized
    fun tokens(): Map<String, Long> = states.mapValues { it.value.tokens }.filterValues { it > 0 }

    /** Tokens of this VM at each decode replica; changes only when a request starts or ends. */
    @Synchronized
    fun heldTokens(): Map<String, Long> =
        states.filterValues { it.replica.stage == ReplicaStage.DECODE && it.tokens > 0 }.mapValues { it.value.tokens }

    /** Sets the [sums] of the tokens of other VMs at each replica. */
    @Synchronized
    fun setRemoteTokens(sums: Map<String, Long>) =
        states.forEach { (id, state) -> state.setRemoteTokens(sums[id] ?: 0) }

    /** All listed replicas. */
    val all: List<ReplicaState> @Synchronized get() = states.values.toList()

    /** Mean reported requests per slot of the replicas that accept requests, by service and stage. */
    val meanFills: Map<Pair<String, ReplicaStage>, List<Double>>
        @Synchronized get() =
            states.values
                .filter { it.accepting }
                .mapNotNull { state ->
                    state.estimate.meanFill?.let { (state.replica.service to state.replica.stage) to it }
                }.groupBy({ it.first }, { it.second })

    /** Number of listed replicas. */
    val size: Int @Synchronized get() = states.size

    private fun stateOf(replica: Replica): ReplicaState {
        val known = states[replica.id] ?: unlisted[replica.id]
        val same = known != null && known.replica.startedAt == replica.startedAt &&
            known.replica.address == replica.address
        if (!same) {
            // Clocks of machines differ a little, so a start in the future was just now.
            val age = replica.startedAt.takeIf { it > 0 }?.let { maxOf(0, wallMillis() - it) }
            return ReplicaState(replica, clock, age, prefillRates) { it in evacuatedDomains }
        }
        known.replica = replica
        return known
    }

    private companion object {
        /** Far more than the replicas that end within the time in which an entry may return. */
        const val MAX_UNLISTED = 1_000
    }
}
