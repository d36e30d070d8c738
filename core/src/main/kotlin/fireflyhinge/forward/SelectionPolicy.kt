package fireflyhinge.forward

/** Selects one of the replicas that may take a request. Thread-safe. */
interface SelectionPolicy {
    /**
     * Whether the prefill cost is determined once for all decode replicas of a failure domain, which in a large fleet
     * saves most of the time of a choice.
     */
    val sharesPrefillCosts: Boolean get() = false

    /** Load of [state] as known to this VM; 1 is full. [capacity] is the KV cache capacity in tokens, or 0. */
    fun load(state: ReplicaState, capacity: Int): Double

    /** Returns the replica for a request; null if there is no candidate. */
    fun select(candidates: List<Candidate>, capacity: Int): ReplicaState?

    /** A replica that may take a request. [penalty] is what it costs beside its own load, in the same unit. */
    class Candidate(val state: ReplicaState, val penalty: Double)
}
