package fireflyhinge.forward

import kotlin.random.Random

/**
 * Chooses the replica for a request by load, health and distance.
 *
 * @param capacity tokens that the memory of a replica of a service holds; 0 for a plain service.
 */
class ReplicaSelector(
    private val table: ReplicaTable,
    private val domains: FailureDomains,
    private val capacity: (String) -> Int = { 0 },
    private val random: Random = Random.Default,
) {
    /**
     * The best replica of [service] at [stage] that is not in [avoid]; null if there is none. With [near], replicas
     * close to that failure domain are preferred, and those of other regions are left out, because KV cache does not
     * cross regions.
     */
    fun select(
        service: String,
        stage: ReplicaStage,
        avoid: Set<String> = emptySet(),
        near: String? = null,
    ): ReplicaState? {
        val all = table.usable(service, stage).filter { it.replica.id !in avoid }
        val reachable = if (near == null) all else all.filter { domains.distance(it.replica.failureDomain, near) < 2 }
        val sound = reachable.filterNot { it.unresponsive }
        // A replica that failed lately is better than none, and one that is full may queue.
        return best(service, sound.filterNot { it.full }.ifEmpty { sound }.ifEmpty { reachable }, near)
    }

    /**
     * The best decode replica of [service], not in [avoid], with room for [tokens]; null if none has. Answers that have
     * begun and go on elsewhere ([resumed]) may use memory that is kept free of new ones.
     */
    fun selectWithCapacity(service: String, tokens: Int, avoid: Set<String>, resumed: Boolean = false): ReplicaState? {
        val all = table.usable(service, ReplicaStage.DECODE).filter { it.replica.id !in avoid }
        val sound = all.filterNot { it.unresponsive }.ifEmpty { all }.filterNot { it.full }
        val memory = (capacity(service) * if (resumed) 1.0 else USED_MEMORY).toInt()
        // A request that is larger than what any replica has is tried at an empty one.
        val roomy = sound.filter { it.availableTokens(memory) >= tokens || it.availableTokens(memory) >= memory }
        return roomy
            .map { it to prefillCost(service, it) }
            .filterNot { (_, prefill) -> prefill >= TOO_SLOW && prefill < OWN_PREFILL_COST }
            .minByOrNull { (state, prefill) -> prefill + costFrom(service, state) }
            ?.first
    }

    private fun costFrom(service: String, state: ReplicaState): Double =
        load(service, state) + distanceCost(state, near = null) + random.nextDouble() * JITTER

    /** Cost of reading a prompt for [decode]: KV cache comes from its own region only. */
    private fun prefillCost(service: String, decode: ReplicaState): Double {
        val near = decode.replica.failureDomain
        val prefill = select(service, ReplicaStage.PREFILL, near = near) ?: return OWN_PREFILL_COST
        if (prefill.unresponsive) return OWN_PREFILL_COST
        return minOf(MOST_PREFILL_COST, prefill.cost(capacity(service)) * PREFILL_WEIGHT)
    }

    /** Load of [state] by what this VM knows; 1 is a replica that is full. */
    fun load(service: String, state: ReplicaState): Double = state.cost(capacity(service))

    private fun best(service: String, states: List<ReplicaState>, near: String?): ReplicaState? {
        val memory = capacity(service)
        return states.minByOrNull { it.cost(memory) + distanceCost(it, near) + random.nextDouble() * JITTER }
    }

    private fun distanceCost(state: ReplicaState, near: String?): Double {
        val place = state.replica.failureDomain
        val distance = if (near == null) domains.distance(place) else domains.distance(place, near)
        return DISTANCE_COST[distance]
    }

    private companion object {
        /** Part of a replica's memory that is planned; answers are often longer than their callers expect. */
        const val USED_MEMORY = 0.9

        /**
         * Load, in shares of a replica's capacity, at which a replica of the next distance becomes better. Failure
         * domains are a millisecond apart and cost little; regions are 30 ms apart over a narrow link, but a request
         * that would be refused is better served there.
         */
        val DISTANCE_COST = doubleArrayOf(0.0, 0.1, 0.3)

        /**
         * Worse than any load: without a prefill replica a decode replica must read the prompt, which delays the
         * answers of all its requests. Its places are free because no prompt is read for them.
         */
        const val OWN_PREFILL_COST = 2.0

        /** The highest cost of a prefill replica that answers; lower than that of having none. */
        const val MOST_PREFILL_COST = 1.9

        /**
         * Cost of a wait of two thirds of the objective. A prompt is not sent to such a prefill replica: it would be
         * late, and so would those behind it.
         */
        const val TOO_SLOW = 1.33

        /** A prompt that waits for half of the objective weighs as much as a decode replica that is full. */
        const val PREFILL_WEIGHT = 2.0

        /** Spreads the choices of VMs that know the same, so that they do not all choose one replica. */
        const val JITTER = 0.1
    }
}
