package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock

/** State of all replicas that the platform lists. Thread-safe. */
class ReplicaTable(private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private var states = emptyMap<String, ReplicaState>()

    /** Replaces the list of replicas and retains the state of unchanged processes. */
    @Synchronized
    fun replace(replicas: Collection<Replica>) {
        states = replicas.associate { it.id to stateOf(it) }
    }

    /** Replicas of [service] at [stage] that accept new requests. */
    @Synchronized
    fun usable(service: String, stage: ReplicaStage): List<ReplicaState> =
        states.values.filter { it.replica.service == service && it.replica.stage == stage && !it.replica.leaving }

    /** Whether [state] belongs to a listed replica that accepts new requests. */
    @Synchronized
    fun usable(state: ReplicaState): Boolean = states[state.replica.id] === state && !state.replica.leaving

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

    /** Number of listed replicas. */
    val size: Int @Synchronized get() = states.size

    private fun stateOf(replica: Replica): ReplicaState {
        val known = states[replica.id]
        val same = known != null && known.replica.startedAt == replica.startedAt &&
            known.replica.address == replica.address
        if (!same) return ReplicaState(replica, clock)
        known.replica = replica
        return known
    }
}
