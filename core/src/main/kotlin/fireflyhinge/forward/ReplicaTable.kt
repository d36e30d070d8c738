package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock

/** All replicas that the platform lists, with what this VM knows of each. Thread-safe. */
class ReplicaTable(private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private var states = emptyMap<String, ReplicaState>()

    /** Replaces the list of replicas; what is known of those that stay is kept. */
    @Synchronized
    fun replace(replicas: Collection<Replica>) {
        states = replicas.associate { it.id to stateOf(it) }
    }

    /** Replicas of [service] at [stage] that may get new requests. */
    @Synchronized
    fun usable(service: String, stage: ReplicaStage): List<ReplicaState> =
        states.values.filter { it.replica.service == service && it.replica.stage == stage && !it.replica.leaving }

    /** Whether [state] is that of a listed replica that may get new requests. */
    @Synchronized
    fun usable(state: ReplicaState): Boolean = states[state.replica.id] === state && !state.replica.leaving

    /** Tokens that this VM has at each replica, without those that have none. */
    @Synchronized
    fun tokens(): Map<String, Long> = states.mapValues { it.value.tokens }.filterValues { it > 0 }

    /** Tokens that this VM holds at each decode replica; changes only when a request begins or ends. */
    @Synchronized
    fun heldTokens(): Map<String, Long> =
        states.filterValues { it.replica.stage == ReplicaStage.DECODE && it.tokens > 0 }.mapValues { it.value.tokens }

    /** Takes over the [sums] of tokens that other VMs have at each replica. */
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
