package fireflyhinge.forward

import kotlin.random.Random

/**
 * Selects the replica with the least known load. Suits small fleets, whose VMs tell each other of each request; many
 * VMs with the same outdated view would all select the same replica.
 */
class LeastLoadPolicy(private val random: Random = Random.Default) : SelectionPolicy {
    override fun load(state: ReplicaState, capacity: Int): Double = state.cost(capacity)

    override fun select(candidates: List<SelectionPolicy.Candidate>, capacity: Int): ReplicaState? =
        candidates.minByOrNull { load(it.state, capacity) + it.penalty + random.nextDouble() * JITTER }?.state

    private companion object {
        /** Prevents VMs with the same view from all selecting the same replica. */
        const val JITTER = 0.1
    }
}
