package fireflyhinge.forward

import kotlin.random.Random

/** Chooses the replica for a request by load, health and distance. */
class ReplicaChooser(
    private val table: ReplicaTable,
    private val domains: FailureDomains,
    private val random: Random = Random.Default,
) {
    /**
     * The best replica of [service] at [stage] that is not in [avoid]; null if there is none. With [near], replicas
     * close to that failure domain are preferred, and those of other regions are left out, because KV cache does not
     * cross regions.
     */
    fun choose(
        service: String,
        stage: ReplicaStage,
        avoid: Set<String> = emptySet(),
        near: String? = null,
    ): ReplicaState? {
        val all = table.usable(service, stage).filter { it.replica.id !in avoid }
        val reachable = if (near == null) all else all.filter { domains.distance(it.replica.failureDomain, near) < 2 }
        val sound = reachable.filterNot { it.shunned() }
        // A replica that failed lately is better than none.
        val candidates = sound.ifEmpty { reachable }
        return candidates.minByOrNull { it.cost() + distanceCost(it, near) + random.nextDouble() * JITTER }
    }

    private fun distanceCost(state: ReplicaState, near: String?): Double {
        val place = state.replica.failureDomain
        val distance = if (near == null) domains.distance(place) else domains.distance(place, near)
        return DISTANCE_COST[distance]
    }

    private companion object {
        /**
         * Load, in shares of a replica's places, at which a replica of the next distance becomes better. Failure
         * domains are a millisecond apart and cost little; regions are 30 ms apart over a narrow link.
         */
        val DISTANCE_COST = doubleArrayOf(0.0, 0.25, 2.0)

        /** Spreads the choices of VMs that know the same, so that they do not all choose one replica. */
        const val JITTER = 0.1
    }
}
