package fireflyhinge.forward

import kotlin.random.Random

/**
 * Selects the replica for a request by load, health and distance.
 *
 * @param capacity KV cache capacity of a replica of a service in tokens; 0 for a plain service.
 * @param random for the default [policy].
 * @param cold cold replicas, which are left out without budget and otherwise come after warm ones with capacity.
 * @param policy selects among the replicas that may take a request; evaluated for each request.
 */
class ReplicaSelector(
    private val table: ReplicaTable,
    private val domains: FailureDomains,
    private val capacity: (String) -> Int = { 0 },
    random: Random = Random.Default,
    private val cold: ColdReplicas? = null,
    private val policy: () -> SelectionPolicy = LeastLoadPolicy(random).let { least -> { least } },
) {
    /**
     * Returns the best replica of [service] at [stage] that [filter] allows and that is not in [avoid]; null if there
     * is none. With [near],
     * replicas close to that failure domain are preferred and those of other regions are excluded, because KV cache is
     * not transferred across regions.
     */
    fun select(
        service: String,
        stage: ReplicaStage,
        avoid: Set<String> = emptySet(),
        near: String? = null,
        filter: ReplicaFilter = ReplicaFilter.ANY,
    ): ReplicaState? {
        val all =
            table.usable(service, stage)
                .filter { it.replica.id !in avoid && filter.allows(it) && cold?.permits(it) != false }
        val reachable = if (near == null) all else all.filter { inRegion(it, near) }
        val healthy = reachable.filterNot { it.unresponsive }
        // Falls back to full replicas, which may queue the request, and then to unresponsive ones.
        return best(service, healthy.filterNot { it.full }.ifEmpty { healthy }.ifEmpty { reachable }, near)
    }

    /** Allows the replicas in [regions]; null stands for all regions. */
    fun within(regions: Set<String>?): ReplicaFilter =
        if (regions == null) {
            ReplicaFilter.ANY
        } else {
            ReplicaFilter { domains.regionOf(it.replica.failureDomain) in regions }
        }

    /** Round-trip time to the replica of [state] on an idle path, in milliseconds. */
    fun roundTripMillis(state: ReplicaState): Long = domains.roundTripMillis(state.replica.failureDomain)

    /** Whether the replica of [state] is in the region of the failure domain [near]. */
    fun inRegion(state: ReplicaState, near: String): Boolean = domains.distance(state.replica.failureDomain, near) < 2

    /**
     * Returns the best decode replica of [service] that [filter] allows, not in [avoid], with capacity for [tokens];
     * null if there is none.
     * [resumed] responses, which continue at another replica, may use memory that is reserved from new ones.
     */
    fun selectWithCapacity(
        service: String,
        tokens: Int,
        avoid: Set<String>,
        resumed: Boolean = false,
        filter: ReplicaFilter = ReplicaFilter.ANY,
    ): ReplicaState? {
        val all =
            table.usable(service, ReplicaStage.DECODE)
                .filter { it.replica.id !in avoid && filter.allows(it) && cold?.permits(it) != false }
        val healthy = all.filterNot { it.unresponsive }.ifEmpty { all }.filterNot { it.full }
        val memory = (capacity(service) * if (resumed) 1.0 else USABLE_MEMORY_FRACTION).toInt()
        // A request that exceeds the capacity of every replica is tried at an empty one.
        val fitting = healthy.filter { it.availableTokens(memory) >= tokens || it.availableTokens(memory) >= memory }
        val policy = policy()
        val shared = HashMap<String, Double>()
        val candidates =
            fitting
                .map {
                    val cost = { prefillCost(service, it, policy, filter) }
                    it to if (policy.sharesPrefillCosts) shared.getOrPut(it.replica.failureDomain, cost) else cost()
                }
                .filterNot { (_, prefill) -> isPrefillOverloaded(prefill) }
                .map { (state, prefill) ->
                    SelectionPolicy.Candidate(state, prefill + penalty(state, near = null))
                }
        return policy.select(candidates, capacity(service))
    }

    /** Whether a prompt for the decode replica of [state] would be prefilled within its objective. */
    fun mayPrefillFor(service: String, state: ReplicaState, filter: ReplicaFilter = ReplicaFilter.ANY): Boolean =
        !isPrefillOverloaded(prefillCost(service, state, policy(), filter))

    /** Cost of a prefill for [decode], whose KV cache must come from its own region. */
    private fun prefillCost(
        service: String,
        decode: ReplicaState,
        policy: SelectionPolicy,
        filter: ReplicaFilter,
    ): Double {
        val near = decode.replica.failureDomain
        val prefill = select(service, ReplicaStage.PREFILL, near = near, filter = filter)
        if (prefill == null) {
            val reachable = { state: ReplicaState -> inRegion(state, near) && filter.allows(state) }
            val withoutBudget = cold?.waitMillis(service, ReplicaStage.PREFILL, reachable = reachable) != null
            return if (withoutBudget) MAX_PREFILL_COST else DECODE_PREFILL_COST
        }
        if (prefill.unresponsive) return DECODE_PREFILL_COST
        return minOf(MAX_PREFILL_COST, policy.load(prefill, capacity(service)) * PREFILL_WEIGHT)
    }

    /** Load of [state] as known to this VM; 1 is a full replica. */
    fun load(service: String, state: ReplicaState): Double = state.cost(capacity(service))

    private fun best(service: String, states: List<ReplicaState>, near: String?): ReplicaState? =
        policy().select(
            states.map { SelectionPolicy.Candidate(it, penalty(it, near)) },
            capacity(service),
        )

    /** Cost of the distance to [state]'s replica, from [near] or from this VM, and of the replica's being cold. */
    private fun penalty(state: ReplicaState, near: String?): Double {
        val domain = state.replica.failureDomain
        val distance = if (near == null) domains.distance(domain) else domains.distance(domain, near)
        // Failure domains of a region are milliseconds apart; a queue takes far longer.
        val plain = state.replica.stage == ReplicaStage.PLAIN
        val close = (near != null || plain) && distance == 1 && policy().sharesPrefillCosts
        return (if (close) NEAR_DOMAIN_COST else DISTANCE_COST[distance]) + (cold?.cost(state) ?: 0.0)
    }

    private companion object {
        /** Fraction of memory for new requests; responses are often longer than callers estimate. */
        const val USABLE_MEMORY_FRACTION = 0.9

        /**
         * Load added per distance, as a fraction of a replica's capacity. Failure domains are 1 ms apart and cost
         * little. Regions are 30 ms apart over a link of low bandwidth, which is still better than a refused request.
         */
        val DISTANCE_COST = doubleArrayOf(0.0, 0.1, 0.3)

        /** Prefers the same failure domain among plain and prefill replicas with the same load. */
        const val NEAR_DOMAIN_COST = 0.01

        /**
         * Higher than any load: without a prefill replica the decode replica prefills the prompt itself, which delays
         * all of its responses. Such a replica looks idle only because no prompts are prefilled for it.
         */
        const val DECODE_PREFILL_COST = 2.0

        /** Upper bound for a responsive prefill replica; lower than the cost of having none. */
        const val MAX_PREFILL_COST = 1.9

        /**
         * Cost of a queueing time of two thirds of the latency objective. No prompt is sent to such a prefill replica,
         * since it and those queued behind it would miss the objective.
         */
        const val PREFILL_COST_LIMIT = 1.33

        fun isPrefillOverloaded(cost: Double) = cost >= PREFILL_COST_LIMIT && cost < DECODE_PREFILL_COST

        /** A prefill wait of half the objective costs as much as a full decode replica. */
        const val PREFILL_WEIGHT = 2.0
    }
}
